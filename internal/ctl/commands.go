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

// editAttempts bounds how often an edit of one value is tried, each time on top of
// the latest configuration, while concurrent changes conflict with it.
const editAttempts = 5

// loadDocument reads and checks a configuration file; "-" is standard input. The
// Result is nil if there is no fault.
func loadDocument(env Env, path string) (declare.Document, *Result) {
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
	if _, failure := loadDocument(env, path); failure != nil {
		return *failure
	}
	return Result{Outcome: OK, Message: path + " is valid"}
}

func (c *configs) diff(ctx context.Context, env Env, path string) Result {
	next, failure := loadDocument(env, path)
	if failure != nil {
		return *failure
	}
	inForce, err := c.read(ctx)
	if err != nil {
		return platformFailure("reading the configuration", err)
	}
	changes := Changes(inForce.document, next)
	return Result{
		Outcome: OK, Version: inForce.version, Changes: changes,
		Message: fmt.Sprintf("%s against version %d: %s", path, inForce.version, count(len(changes), "change")),
	}
}

// apply replaces the configuration. expect is the version that the operator
// expects to be in force, 0 for none, or -1 for any.
func (c *configs) apply(ctx context.Context, env Env, path string, expect int64) Result {
	next, failure := loadDocument(env, path)
	if failure != nil {
		return *failure
	}
	return c.checkAndReplace(ctx, next, expect, path)
}

func (c *configs) rollback(ctx context.Context, version, expect int64) Result {
	next, err := c.readHistoryVersion(ctx, version)
	if platform.ErrNotFound.Has(err) {
		inForce, readErr := c.read(ctx)
		if readErr == nil && inForce.version == version {
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
	return c.checkAndReplace(ctx, next, expect, fmt.Sprintf("the content of version %d", version))
}

// checkAndReplace replaces the whole configuration by next. It refuses to do so if
// another version than expect is in force, and without expect (-1) if next would
// return a zone or a target to service. subject describes next in messages.
func (c *configs) checkAndReplace(ctx context.Context, next declare.Document, expect int64, subject string) Result {
	base, err := c.read(ctx)
	// An unreadable version can be replaced by an operator who expects it.
	if err != nil && (base.version == 0 || base.version != expect) {
		return platformFailure("reading the configuration", err)
	}
	changes := Changes(base.document, next)
	if base.version > 0 && len(changes) == 0 {
		return Result{Outcome: Unchanged, Version: base.version, Message: fmt.Sprintf("%s is already in force as version %d", subject, base.version)}
	}
	if expect >= 0 && expect != base.version {
		r := Result{Outcome: Conflict, Version: base.version}
		old, err := c.readHistoryVersion(ctx, expect)
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
	if returned := returnedToService(base.document, next); expect < 0 && returned != nil {
		return Result{
			Outcome: Conflict, Version: base.version, Changes: changes, Errors: returned,
			Message: fmt.Sprintf("nothing was changed: %s would undo this; to do so, add --expect %d", subject, base.version),
		}
	}
	return c.describeReplace(ctx, c.replace(ctx, base, next), base, next, subject)
}

// describeReplace turns the outcome of replace into a Result. After a success it
// also removes the oldest versions from the history.
func (c *configs) describeReplace(ctx context.Context, replaced replaceResult, base configVersion, next declare.Document, subject string) Result {
	if replaced.outcome == Conflict && replaced.inForce.version > 0 && len(Changes(replaced.inForce.document, next)) == 0 {
		return Result{Outcome: Unchanged, Version: replaced.inForce.version, Message: fmt.Sprintf("%s is already in force as version %d", subject, replaced.inForce.version)}
	}
	r := Result{Outcome: replaced.outcome}
	if replaced.err != nil && replaced.outcome != Conflict {
		r.Errors = []string{replaced.err.Error()}
	}
	switch replaced.outcome {
	case OK:
		r.Version, r.PreviousVersion, r.Changes = replaced.version, base.version, Changes(base.document, next)
		r.Message = fmt.Sprintf("%s is accepted as version %d", subject, replaced.version)
		if replaced.supersededBy > 0 {
			r.Warnings = append(r.Warnings, fmt.Sprintf("version %d has already replaced it", replaced.supersededBy))
		}
		if err := c.prune(ctx); err != nil {
			r.Warnings = append(r.Warnings, fmt.Sprintf("old versions were not removed from the history: %v", err))
		}
	case Conflict:
		r.Version = replaced.inForce.version
		if r.Version > 0 {
			r.Changes = Changes(base.document, replaced.inForce.document)
			r.Message = fmt.Sprintf("nothing was changed: version %d came first and replaced version %d", r.Version, base.version)
		} else {
			r.Message = fmt.Sprintf("nothing was changed: version %d is no longer in force", base.version)
		}
	case Unknown:
		r.PreviousVersion = base.version
		r.Message = fmt.Sprintf("the outcome is unknown: %s may be in force or come into force later; check with status and history", subject)
	case Unavailable:
		r.Message = "the platform is unavailable; nothing was changed"
	default:
		r.Message = "the change failed; nothing was changed"
	}
	return r
}

// edit applies change to the configuration in force, and again to the latest one
// after a conflict, at most editAttempts times. subject describes the change in
// messages.
func (c *configs) edit(ctx context.Context, subject string, change func(*declare.Document) *Result) Result {
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
			return Result{Outcome: Unchanged, Version: base.version, Message: fmt.Sprintf("%s is already in force as version %d", subject, base.version)}
		}
		if faults := newFaults(base.document, next); faults != nil {
			return Result{Outcome: BadInput, Version: base.version, Message: subject + " contradicts the configuration; nothing was changed", Errors: faults}
		}
		last = c.describeReplace(ctx, c.replace(ctx, base, next), base, next, subject)
		if last.Outcome != Conflict {
			return last
		}
	}
	last.Message = fmt.Sprintf("nothing was changed: the configuration changed %d times meanwhile; try again", editAttempts)
	return last
}

func (c *configs) setZoneOut(ctx context.Context, name string, out bool) Result {
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

func (c *configs) retireTarget(ctx context.Context, name string) Result {
	r := c.edit(ctx, "retirement of target "+name, func(d *declare.Document) *Result {
		if !slices.Contains(d.RetiredTargets, name) {
			d.RetiredTargets = append(d.RetiredTargets, name)
		}
		return nil
	})
	if r.Outcome != OK {
		return r
	}
	// A misspelt name would leave the target in service. It is only a warning
	// because the list lags and may lack a name that is right.
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
	// Changes lists the differences from the version before, if that is kept.
	Changes  []Change         `json:"changes"`
	Document declare.Document `json:"document"`
}

func (c *configs) listHistory(ctx context.Context) Result {
	inForce, readErr := c.read(ctx)
	if readErr != nil && inForce.version == 0 {
		return platformFailure("reading the configuration", readErr)
	}
	entries, unreadable, err := c.history(ctx)
	if err != nil {
		return platformFailure("reading the history", err)
	}
	// The history also holds the version in force if a change stored it there and
	// then failed or has an unknown outcome.
	entries = slices.DeleteFunc(entries, func(e configVersion) bool { return e.version == inForce.version })
	switch {
	case readErr != nil:
		// The version in force is unreadable. The operator can still replace it by
		// one of the history.
		unreadable = append(unreadable, readErr.Error())
	case inForce.version > 0:
		entries = append(entries, inForce)
	}
	r := Result{Outcome: OK, Version: inForce.version, Message: count(len(entries), "version"), Warnings: unreadable}
	for i, e := range entries {
		h := HistoryEntry{Version: e.version, InForce: e.version == inForce.version, Changes: []Change{}, Document: e.document}
		if i > 0 {
			h.Changes = Changes(entries[i-1].document, e.document)
		}
		r.History = append(r.History, h)
	}
	return r
}

// count returns the number with the noun in the singular or plural.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
