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

	// writeAttempts bounds how often a write is sent while its outcome is unknown.
	writeAttempts = 4
	// maxHistoryVersions bounds the versions in the history. A list returns all
	// values in one reply of at most 64 MiB, and a value may have 1 MiB.
	maxHistoryVersions = 50
)

// configs reads and replaces the object config/main and keeps the history of its
// versions.
type configs struct {
	platform Platform
	pause    time.Duration // before a write is sent again
}

// configVersion is one version of config/main, in force or of the history. Version
// 0 means that there is no configuration.
type configVersion struct {
	version  int64
	raw      json.RawMessage
	document declare.Document
}

// read returns the version in force. An unreadable document is an error, with the
// version and the raw value still returned, because an edit would drop the parts
// that this program does not know.
func (c *configs) read(ctx context.Context) (configVersion, error) {
	o, err := c.platform.Get(ctx, kindConfig, nameMain)
	if platform.ErrNotFound.Has(err) {
		return configVersion{}, nil
	}
	if err != nil {
		return configVersion{}, err
	}
	d, err := declare.Parse(o.Value)
	if err != nil {
		return configVersion{version: o.Version, raw: o.Value}, fmt.Errorf("config/main version %d: %w", o.Version, err)
	}
	return configVersion{version: o.Version, raw: o.Value, document: d}, nil
}

// readHistoryVersion returns a version of the history.
func (c *configs) readHistoryVersion(ctx context.Context, version int64) (declare.Document, error) {
	o, err := c.platform.Get(ctx, kindHistory, strconv.FormatInt(version, 10))
	if err != nil {
		return declare.Document{}, err
	}
	return declare.Parse(o.Value)
}

// replaceResult is the outcome of replace.
type replaceResult struct {
	outcome      Outcome       // OK, Conflict, Unknown, Unavailable or Failed
	version      int64         // with OK
	inForce      configVersion // with Conflict, if it could be read
	supersededBy int64         // with OK: a version that has already replaced ours
	err          error
}

// replace makes next the content of config/main if base is still in force.
// base is stored in the history first, so that no outcome leaves a gap there.
func (c *configs) replace(ctx context.Context, base configVersion, next declare.Document) replaceResult {
	value, err := declare.Encode(next)
	if err != nil {
		return replaceResult{outcome: Failed, err: err}
	}
	if base.version > 0 {
		if err := c.addToHistory(ctx, base); err != nil {
			return replaceResult{outcome: failedWriteOutcome(err), err: err}
		}
	}
	mayHaveTakenEffect := false // a write was sent and not answered
	for attempt := range writeAttempts {
		if attempt > 0 && !c.sleep(ctx) {
			break
		}
		var version int64
		version, err = c.platform.Put(ctx, kindConfig, nameMain, value, base.version)
		switch {
		case err == nil:
			return replaceResult{outcome: OK, version: version}
		case platform.ErrOutcomeUnknown.Has(err):
			mayHaveTakenEffect = true
			inForce, readErr := c.read(ctx)
			if readErr == nil && inForce.version != base.version {
				return c.resolveUnanswered(ctx, base, inForce, next)
			}
			// With base still in force, the write may yet take effect. It is safe to
			// send it again: as both writes require base, only one can succeed.
		case platform.ErrConflict.Has(err):
			inForce, readErr := c.read(ctx)
			switch {
			case readErr == nil && mayHaveTakenEffect:
				return c.resolveUnanswered(ctx, base, inForce, next)
			case !mayHaveTakenEffect:
				return replaceResult{outcome: Conflict, inForce: inForce, err: err}
			}
		case !mayHaveTakenEffect:
			return replaceResult{outcome: failedWriteOutcome(err), err: err}
		}
	}
	return replaceResult{outcome: Unknown, err: err}
}

// resolveUnanswered finds out whether a write without an answer took effect, once
// another version than base was read. Every replacement first stores the version
// that it replaces, so a write that took effect is in force or in the history.
func (c *configs) resolveUnanswered(ctx context.Context, base, inForce configVersion, next declare.Document) replaceResult {
	if inForce.version > 0 && len(Changes(inForce.document, next)) == 0 {
		return replaceResult{outcome: OK, version: inForce.version}
	}
	entries, _, err := c.history(ctx)
	if err != nil {
		return replaceResult{outcome: Unknown, err: err}
	}
	for _, e := range entries {
		if e.version > base.version && len(Changes(e.document, next)) == 0 {
			return replaceResult{outcome: OK, version: e.version, supersededBy: inForce.version}
		}
	}
	return replaceResult{outcome: Conflict, inForce: inForce}
}

// addToHistory stores a version in the history. A version never changes, so an
// entry that exists already is the same.
func (c *configs) addToHistory(ctx context.Context, v configVersion) error {
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
		if !platform.ErrOutcomeUnknown.Has(err) {
			return err
		}
	}
	return err
}

// history returns the versions of the history, oldest first, and a message for
// each entry that cannot be read.
func (c *configs) history(ctx context.Context) ([]configVersion, []string, error) {
	objects, _, err := c.platform.List(ctx, kindHistory)
	if err != nil {
		return nil, nil, err
	}
	var versions []configVersion
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
		versions = append(versions, configVersion{version: version, raw: o.Value, document: d})
	}
	slices.Sort(unreadable)
	slices.SortFunc(versions, func(a, b configVersion) int { return cmp.Compare(a.version, b.version) })
	return versions, unreadable, nil
}

// prune removes the oldest versions beyond maxHistoryVersions.
func (c *configs) prune(ctx context.Context) error {
	objects, _, err := c.platform.List(ctx, kindHistory)
	if err != nil || len(objects) <= maxHistoryVersions {
		return err
	}
	number := func(o platform.Object) int64 { n, _ := strconv.ParseInt(o.Name, 10, 64); return n }
	slices.SortFunc(objects, func(a, b platform.Object) int { return cmp.Compare(number(a), number(b)) })
	for _, o := range objects[:len(objects)-maxHistoryVersions] {
		// Another operator may remove the same version at the same time.
		if err := c.platform.Delete(ctx, kindHistory, o.Name, o.Version); err != nil &&
			!platform.ErrNotFound.Has(err) && !platform.ErrConflict.Has(err) {
			return err
		}
	}
	return nil
}

// sleep waits for the pause. It returns false if ctx ends first.
func (c *configs) sleep(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(c.pause):
		return true
	}
}

// failedWriteOutcome returns the outcome of a command whose write failed without an
// effect on config/main. This includes a write of the history without an answer,
// which counts as unavailable.
func failedWriteOutcome(err error) Outcome {
	if platform.ErrUnavailable.Has(err) || platform.ErrOutcomeUnknown.Has(err) {
		return Unavailable
	}
	return Failed
}

// newFaults returns the faults of to that from does not have. Faults of both do not
// count, so that a document which was accepted under older rules does not prevent
// taking a zone out.
func newFaults(from, to declare.Document) []string {
	var before, added []string
	for _, err := range declare.Validate(from) {
		before = append(before, err.Error())
	}
	for _, err := range declare.Validate(to) {
		if !slices.Contains(before, err.Error()) {
			added = append(added, strings.TrimSpace(err.Error()))
		}
	}
	return added
}
