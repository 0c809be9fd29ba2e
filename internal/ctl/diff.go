package ctl

import (
	"fmt"
	"slices"
	"strings"

	"github.com/baobabsill/baobabsill/declare"
)

// Change is one difference between two configurations.
type Change struct {
	Kind   string `json:"kind"` // zone, service, search, operation, target or configuration
	Name   string `json:"name"`
	Change string `json:"change"`
}

func (c Change) String() string { return c.Kind + " " + c.Name + ": " + c.Change }

// Changes lists how to differs from from. The order of zones, services,
// searches and operations has no meaning and is not compared; the order of
// the services of an operation is.
func Changes(from, to declare.Document) []Change {
	var out []Change
	if from.Name != to.Name {
		out = append(out, Change{"configuration", to.Name, fmt.Sprintf("name %q -> %q", from.Name, to.Name)})
	}
	out = append(out, compare("zone", from.Zones, to.Zones,
		func(z declare.Zone) string { return z.Name },
		func(z declare.Zone) string { return pick(z.Out, "out", "in") },
		func(a, b declare.Zone) []string {
			return differing(was("", pick(a.Out, "out", "in"), pick(b.Out, "out", "in")))
		})...)
	out = append(out, compare("service", from.Services, to.Services,
		func(s declare.Service) string { return s.Name },
		func(s declare.Service) string {
			return fmt.Sprintf("%s, %d replicas, %d slots, bears_cold %d, %d connections", s.Phase, s.Replicas, s.Slots, s.BearsCold, s.Connections)
		},
		func(a, b declare.Service) []string {
			return differing(was("phase", a.Phase, b.Phase), was("replicas", a.Replicas, b.Replicas), was("slots", a.Slots, b.Slots),
				was("bears_cold", a.BearsCold, b.BearsCold), was("connections", a.Connections, b.Connections))
		})...)
	out = append(out, compare("search", from.Searches, to.Searches,
		func(s declare.Search) string { return s.Name },
		func(s declare.Search) string {
			return fmt.Sprintf("class %s, priority %s, %s", s.Class, s.Priority, count(len(s.Services), "service"))
		},
		func(a, b declare.Search) []string {
			return differing(was("class", a.Class, b.Class), was("priority", a.Priority, b.Priority), members(a.Services, b.Services, false))
		})...)
	out = append(out, compare("operation", from.Operations, to.Operations,
		func(o declare.Operation) string { return o.Name },
		func(o declare.Operation) string { return "services " + strings.Join(o.Services, ", ") },
		func(a, b declare.Operation) []string { return differing(members(a.Services, b.Services, true)) })...)
	for _, t := range to.RetiredTargets {
		if !slices.Contains(from.RetiredTargets, t) {
			out = append(out, Change{"target", t, "retired"})
		}
	}
	for _, t := range from.RetiredTargets {
		if !slices.Contains(to.RetiredTargets, t) {
			out = append(out, Change{"target", t, "no longer retired"})
		}
	}
	return out
}

func compare[T any](kind string, from, to []T, name, describe func(T) string, differ func(a, b T) []string) []Change {
	var out []Change
	old := map[string]T{}
	for _, f := range from {
		old[name(f)] = f
	}
	kept := map[string]bool{}
	for _, t := range to {
		n := name(t)
		kept[n] = true
		f, ok := old[n]
		if !ok {
			out = append(out, Change{kind, n, "added: " + describe(t)})
			continue
		}
		for _, d := range differ(f, t) {
			out = append(out, Change{kind, n, d})
		}
	}
	for _, f := range from {
		if n := name(f); !kept[n] {
			out = append(out, Change{kind, n, "removed"})
		}
	}
	return out
}

// was describes a changed value; it is empty for equal values.
func was[T comparable](field string, from, to T) string {
	if from == to {
		return ""
	}
	return strings.TrimSpace(fmt.Sprintf("%s %v -> %v", field, from, to))
}

func differing(changes ...string) []string {
	return slices.DeleteFunc(changes, func(s string) bool { return s == "" })
}

// members describes the difference between two lists of services.
func members(from, to []string, ordered bool) string {
	var parts []string
	for _, s := range to {
		if !slices.Contains(from, s) {
			parts = append(parts, "+"+s)
		}
	}
	for _, s := range from {
		if !slices.Contains(to, s) {
			parts = append(parts, "-"+s)
		}
	}
	switch {
	case parts != nil:
		return "services " + strings.Join(parts, " ")
	case ordered && !slices.Equal(from, to):
		return "services reordered: " + strings.Join(to, ", ")
	}
	return ""
}

func pick(cond bool, yes, no string) string {
	if cond {
		return yes
	}
	return no
}

// reopened lists what a change would give work again although the
// configuration in force withholds it: zones that are out, retired targets.
func reopened(from, to declare.Document) []string {
	var out []string
	for _, z := range from.Zones {
		stays := slices.ContainsFunc(to.Zones, func(t declare.Zone) bool { return t.Name == z.Name && t.Out })
		if z.Out && !stays {
			out = append(out, "zone "+z.Name+" is out")
		}
	}
	for _, t := range from.RetiredTargets {
		if !slices.Contains(to.RetiredTargets, t) {
			out = append(out, "target "+t+" is retired")
		}
	}
	return out
}
