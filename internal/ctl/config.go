package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/platform"
)

const (
	kindConfig  = "config"
	nameMain    = "main"
	kindHistory = "confighistory"

	// writeAttempts bounds how often a write is sent while its outcome is open.
	writeAttempts = 4
	// historyKept bounds the stored versions. A list returns all values in one
	// reply of at most 64 MiB, and a value may have 1 MiB.
	historyKept = 50
)

// configs reads and replaces config/main and its history.
type configs struct {
	platform Platform
	pause    time.Duration
}

// current is one version of config/main. Version 0 means that there is none.
type current struct {
	version  int64
	raw      json.RawMessage
	document declare.Document
}

// read returns config/main. An unreadable document is an error, because an
// edit would drop the parts that this program does not know.
func (c *configs) read(ctx context.Context) (current, error) {
	o, err := c.platform.Get(ctx, kindConfig, nameMain)
	if platform.ErrNotFound.Has(err) {
		return current{}, nil
	}
	if err != nil {
		return current{}, err
	}
	d, err := declare.Parse(o.Value)
	if err != nil {
		return current{version: o.Version, raw: o.Value}, fmt.Errorf("config/main version %d: %w", o.Version, err)
	}
	return current{version: o.Version, raw: o.Value, document: d}, nil
}

// stored returns a kept version.
func (c *configs) stored(ctx context.Context, version int64) (declare.Document, error) {
	o, err := c.platform.Get(ctx, kindHistory, strconv.FormatInt(version, 10))
	if err != nil {
		return declare.Document{}, err
	}
	return declare.Parse(o.Value)
}

// replaced is the outcome of replace.
type replaced struct {
	outcome Outcome // OK, Conflict, Unknown, Unavailable or Failed
	version int64   // with OK
	now     current // with Conflict, if it could be read
	later   int64   // with OK: a version that has already replaced ours
	err     error
}

// replace makes next the content of config/main if base is still in force.
// base is stored in the history first, so that no outcome leaves a gap there.
func (c *configs) replace(ctx context.Context, base current, next declare.Document) replaced {
	value, err := declare.Encode(next)
	if err != nil {
		return replaced{outcome: Failed, err: err}
	}
	if base.version > 0 {
		if err := c.keep(ctx, base); err != nil {
			return replaced{outcome: pickOutcome(err), err: err}
		}
	}
	// sent is set once a write may have taken effect without an answer.
	sent := false
	for attempt := range writeAttempts {
		if attempt > 0 && !c.sleep(ctx) {
			break
		}
		var version int64
		version, err = c.platform.Put(ctx, kindConfig, nameMain, value, base.version)
		switch {
		case err == nil:
			return replaced{outcome: OK, version: version}
		case platform.ErrUnknown.Has(err):
			sent = true
			now, readErr := c.read(ctx)
			if readErr == nil && now.version != base.version {
				return c.settle(ctx, base, now, next)
			}
			// With base still in force, the write may be late. Repeating it
			// under the same condition lets only one of the two succeed.
		case platform.ErrConflict.Has(err):
			now, readErr := c.read(ctx)
			switch {
			case readErr == nil && sent:
				return c.settle(ctx, base, now, next)
			case !sent:
				return replaced{outcome: Conflict, now: now, err: err}
			}
		case !sent:
			return replaced{outcome: pickOutcome(err), err: err}
		}
	}
	return replaced{outcome: Unknown, err: err}
}

// settle finds out whether a write without an answer took effect, after
// another version than base was read. Every replacement stores its
// predecessor, so a write that took effect is in force or in the history.
func (c *configs) settle(ctx context.Context, base, now current, next declare.Document) replaced {
	if now.version > 0 && len(Changes(now.document, next)) == 0 {
		return replaced{outcome: OK, version: now.version}
	}
	entries, _, err := c.history(ctx)
	if err != nil {
		return replaced{outcome: Unknown, err: err}
	}
	for _, e := range entries {
		if e.version > base.version && len(Changes(e.document, next)) == 0 {
			return replaced{outcome: OK, version: e.version, later: now.version}
		}
	}
	return replaced{outcome: Conflict, now: now}
}

// keep stores a version in the history. A version never changes, so an entry
// that exists is the right one.
func (c *configs) keep(ctx context.Context, v current) error {
	name := strconv.FormatInt(v.version, 10)
	var err error
	for attempt := range writeAttempts {
		if attempt > 0 && !c.sleep(ctx) {
			break
		}
		_, err = c.platform.Put(ctx, kindHistory, name, v.raw, 0)
		if err == nil || platform.ErrConflict.Has(err) {
			return nil
		}
		if !platform.ErrUnknown.Has(err) {
			return err
		}
	}
	return err
}

// history returns the kept versions, oldest first, and says which entries
// cannot be read.
func (c *configs) history(ctx context.Context) ([]current, []string, error) {
	objects, _, err := c.platform.List(ctx, kindHistory)
	if err != nil {
		return nil, nil, err
	}
	var out []current
	var unreadable []string
	for _, o := range objects {
		version, err := strconv.ParseInt(o.Name, 10, 64)
		var d declare.Document
		if err == nil {
			d, err = declare.Parse(o.Value)
		}
		if err != nil {
			unreadable = append(unreadable, fmt.Sprintf("version %s cannot be read: %v", o.Name, err))
			continue
		}
		out = append(out, current{version: version, raw: o.Value, document: d})
	}
	slices.Sort(unreadable)
	slices.SortFunc(out, func(a, b current) int { return cmp.Compare(a.version, b.version) })
	return out, unreadable, nil
}

// prune removes the oldest versions beyond historyKept.
func (c *configs) prune(ctx context.Context) error {
	objects, _, err := c.platform.List(ctx, kindHistory)
	if err != nil || len(objects) <= historyKept {
		return err
	}
	number := func(o platform.Object) int64 { n, _ := strconv.ParseInt(o.Name, 10, 64); return n }
	slices.SortFunc(objects, func(a, b platform.Object) int { return cmp.Compare(number(a), number(b)) })
	for _, o := range objects[:len(objects)-historyKept] {
		// Another operator may prune at the same time.
		if err := c.platform.Delete(ctx, kindHistory, o.Name, o.Version); err != nil &&
			!platform.ErrNotFound.Has(err) && !platform.ErrConflict.Has(err) {
			return err
		}
	}
	return nil
}

func (c *configs) sleep(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(c.pause):
		return true
	}
}

// pickOutcome names the outcome of a failed write that did not take effect.
// A lost answer of the history write counts as unavailable: config/main was
// not touched.
func pickOutcome(err error) Outcome {
	if platform.ErrUnavailable.Has(err) || platform.ErrUnknown.Has(err) {
		return Unavailable
	}
	return Failed
}

// newFaults returns the rules that to breaks and from does not. A document
// that was accepted under older rules must not block taking a zone out.
func newFaults(from, to declare.Document) []string {
	var before, out []string
	for _, err := range declare.Validate(from) {
		before = append(before, err.Error())
	}
	for _, err := range declare.Validate(to) {
		if !slices.Contains(before, err.Error()) {
			out = append(out, strings.TrimSpace(err.Error()))
		}
	}
	return out
}
