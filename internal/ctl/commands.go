package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/baobabsill/baobabsill/declare"
	"github.com/baobabsill/baobabsill/internal/platform"
)

// editAttempts bounds how often an edit of one value is made again on top of
// concurrent changes.
const editAttempts = 5

// load reads and checks a declaration file; "-" is standard input.
func load(env Env, path string) (declare.Document, *Result) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(env.Stdin)
	} else {
		data, err = env.ReadFile(path)
	}
	if err != nil {
		return declare.Document{}, &Result{Outcome: BadInput, Message: "cannot read " + path, Errors: []string{err.Error()}}
	}
	d, err := declare.Parse(data)
	if err != nil {
		return d, &Result{Outcome: BadInput, Message: path + " is not a configuration", Errors: []string{err.Error()}}
	}
	if faults := declare.Validate(d); faults != nil {
		r := &Result{Outcome: BadInput, Message: fmt.Sprintf("%s: %s", path, count(len(faults), "fault"))}
		for _, f := range faults {
			r.Errors = append(r.Errors, f.Error())
		}
		return d, r
	}
	return d, nil
}

func validate(env Env, path string) Result {
	if _, bad := load(env, path); bad != nil {
		return *bad
	}
	return Result{Outcome: OK, Message: path + " is valid"}
}

func (c *configs) diff(ctx context.Context, env Env, path string) Result {
	next, bad := load(env, path)
	if bad != nil {
		return *bad
	}
	now, err := c.read(ctx)
	if err != nil {
		return platformFailure("reading the configuration", err)
	}
	changes := Changes(now.document, next)
	return Result{
		Outcome: OK, Version: now.version, Changes: changes,
		Message: fmt.Sprintf("%s against version %d: %s", path, now.version, count(len(changes), "change")),
	}
}

// apply replaces the configuration. expect is the version that the operator
// has seen, or -1.
func (c *configs) apply(ctx context.Context, env Env, path string, expect int64) Result {
	next, bad := load(env, path)
	if bad != nil {
		return *bad
	}
	return c.change(ctx, next, expect, path)
}

func (c *configs) rollback(ctx context.Context, version, expect int64) Result {
	next, err := c.stored(ctx, version)
	if platform.ErrNotFound.Has(err) {
		now, readErr := c.read(ctx)
		if readErr == nil && now.version == version {
			return Result{Outcome: Unchanged, Version: version, Message: fmt.Sprintf("version %d is in force", version)}
		}
		return Result{Outcome: BadInput, Message: fmt.Sprintf("version %d is not in the history", version)}
	}
	if err != nil {
		return platformFailure("reading the history", err)
	}
	if faults := declare.Validate(next); faults != nil {
		r := Result{Outcome: BadInput, Message: fmt.Sprintf("version %d breaks the rules of today", version)}
		for _, f := range faults {
			r.Errors = append(r.Errors, f.Error())
		}
		return r
	}
	return c.change(ctx, next, expect, fmt.Sprintf("the content of version %d", version))
}

// change replaces the whole configuration by next, which what describes.
func (c *configs) change(ctx context.Context, next declare.Document, expect int64, what string) Result {
	base, err := c.read(ctx)
	// An operator who names the version may replace an unreadable one.
	if err != nil && (base.version == 0 || base.version != expect) {
		return platformFailure("reading the configuration", err)
	}
	changes := Changes(base.document, next)
	if base.version > 0 && len(changes) == 0 {
		return Result{Outcome: Unchanged, Version: base.version, Message: fmt.Sprintf("%s is already in force as version %d", what, base.version)}
	}
	if expect >= 0 && expect != base.version {
		r := Result{Outcome: Conflict, Version: base.version}
		old, err := c.stored(ctx, expect)
		switch {
		case expect == 0:
			r.Changes = Changes(declare.Document{}, base.document)
		case err != nil:
			r.Warnings = append(r.Warnings, fmt.Sprintf("version %d cannot be compared: %v", expect, err))
		default:
			r.Changes = Changes(old, base.document)
		}
		r.Message = fmt.Sprintf("nothing was changed: version %d was expected, but version %d is in force", expect, base.version)
		return r
	}
	if open := reopened(base.document, next); expect < 0 && open != nil {
		return Result{
			Outcome: Conflict, Version: base.version, Changes: changes, Errors: open,
			Message: fmt.Sprintf("nothing was changed: %s would undo this; to do so, add --expect %d", what, base.version),
		}
	}
	return c.report(ctx, c.replace(ctx, base, next), base, next, what)
}

// report describes the outcome of replace.
func (c *configs) report(ctx context.Context, done replaced, base current, next declare.Document, what string) Result {
	if done.outcome == Conflict && done.now.version > 0 && len(Changes(done.now.document, next)) == 0 {
		return Result{Outcome: Unchanged, Version: done.now.version, Message: fmt.Sprintf("%s is already in force as version %d", what, done.now.version)}
	}
	r := Result{Outcome: done.outcome}
	if done.err != nil && done.outcome != Conflict {
		r.Errors = []string{done.err.Error()}
	}
	switch done.outcome {
	case OK:
		r.Version, r.Previous, r.Changes = done.version, base.version, Changes(base.document, next)
		r.Message = fmt.Sprintf("%s is accepted as version %d", what, done.version)
		if done.later > 0 {
			r.Warnings = append(r.Warnings, fmt.Sprintf("version %d has already replaced it", done.later))
		}
		if err := c.prune(ctx); err != nil {
			r.Warnings = append(r.Warnings, fmt.Sprintf("old versions were not removed from the history: %v", err))
		}
	case Conflict:
		r.Version = done.now.version
		if r.Version > 0 {
			r.Changes = Changes(base.document, done.now.document)
			r.Message = fmt.Sprintf("nothing was changed: version %d came first and replaced version %d", r.Version, base.version)
		} else {
			r.Message = fmt.Sprintf("nothing was changed: version %d is no longer in force", base.version)
		}
	case Unknown:
		r.Previous = base.version
		r.Message = fmt.Sprintf("the outcome is unknown: %s may be in force or come into force later; check with status and history", what)
	case Unavailable:
		r.Message = "the platform is unavailable; nothing was changed"
	default:
		r.Message = "the change failed; nothing was changed"
	}
	return r
}

// edit makes one small change on top of whatever is in force.
func (c *configs) edit(ctx context.Context, what string, change func(*declare.Document) *Result) Result {
	var last Result
	for range editAttempts {
		base, err := c.read(ctx)
		if err != nil {
			return platformFailure("reading the configuration", err)
		}
		if base.version == 0 {
			return Result{Outcome: BadInput, Message: "there is no configuration yet; apply one first"}
		}
		next := base.document
		next.Zones = slices.Clone(next.Zones)
		next.RetiredTargets = slices.Clone(next.RetiredTargets)
		if r := change(&next); r != nil {
			return *r
		}
		if len(Changes(base.document, next)) == 0 {
			return Result{Outcome: Unchanged, Version: base.version, Message: fmt.Sprintf("%s is already in force as version %d", what, base.version)}
		}
		if faults := newFaults(base.document, next); faults != nil {
			return Result{Outcome: BadInput, Version: base.version, Message: what + " contradicts the configuration; nothing was changed", Errors: faults}
		}
		last = c.report(ctx, c.replace(ctx, base, next), base, next, what)
		if last.Outcome != Conflict {
			return last
		}
	}
	last.Message = fmt.Sprintf("nothing was changed: the configuration changed %d times meanwhile; try again", editAttempts)
	return last
}

func (c *configs) zone(ctx context.Context, name string, out bool) Result {
	return c.edit(ctx, "zone "+name+" "+pick(out, "out", "in"), func(d *declare.Document) *Result {
		var names []string
		for i := range d.Zones {
			if d.Zones[i].Name == name {
				d.Zones[i].Out = out
				return nil
			}
			names = append(names, d.Zones[i].Name)
		}
		return &Result{Outcome: BadInput, Message: fmt.Sprintf("unknown zone %q: declared are %s", name, strings.Join(names, ", "))}
	})
}

func (c *configs) retire(ctx context.Context, name string) Result {
	r := c.edit(ctx, "retirement of target "+name, func(d *declare.Document) *Result {
		if !slices.Contains(d.RetiredTargets, name) {
			d.RetiredTargets = append(d.RetiredTargets, name)
		}
		return nil
	})
	if r.Outcome != OK {
		return r
	}
	// The list lags, so a name that it lacks may be right. A misspelt name
	// would leave the target at work.
	items, err := c.platform.Instances(ctx)
	if err != nil {
		r.Warnings = append(r.Warnings, fmt.Sprintf("the instance list could not be read to check the name: %v", err))
	} else if !slices.ContainsFunc(items, func(i platform.TargetItem) bool { return i.Name == name }) {
		r.Warnings = append(r.Warnings, "the instance list shows no target of this name; check the spelling")
	}
	return r
}

// HistoryEntry is one version of the configuration.
type HistoryEntry struct {
	Version int64 `json:"version"`
	InForce bool  `json:"in_force"`
	// Changes are the differences from the version before, if that is kept.
	Changes  []Change         `json:"changes"`
	Document declare.Document `json:"document"`
}

func (c *configs) listHistory(ctx context.Context) Result {
	now, readErr := c.read(ctx)
	if readErr != nil && now.version == 0 {
		return platformFailure("reading the configuration", readErr)
	}
	entries, unreadable, err := c.history(ctx)
	if err != nil {
		return platformFailure("reading the history", err)
	}
	// A change whose outcome was lost may have stored the version in force.
	entries = slices.DeleteFunc(entries, func(e current) bool { return e.version == now.version })
	switch {
	case readErr != nil:
		// The kept versions are shown all the same: one of them may replace it.
		unreadable = append(unreadable, readErr.Error())
	case now.version > 0:
		entries = append(entries, now)
	}
	r := Result{Outcome: OK, Version: now.version, Message: count(len(entries), "version"), Warnings: unreadable}
	for i, e := range entries {
		h := HistoryEntry{Version: e.version, InForce: e.version == now.version, Changes: []Change{}, Document: e.document}
		if i > 0 {
			h.Changes = Changes(entries[i-1].document, e.document)
		}
		r.History = append(r.History, h)
	}
	return r
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
