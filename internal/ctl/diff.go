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

// Changes lists the differences of to from from. The order of zones, services,
// searches and operations has no meaning and is not compared. The order of the
// services of an operation has one and is compared.
func Changes(from, to declare.Document) []Change {
	var changes []Change
	if from.Name != to.Name {
		changes = append(changes, Change{"configuration", to.Name, fmt.Sprintf("name %q -> %q", from.Name, to.Name)})
	}
	changes = append(changes, compareItems("zone", from.Zones, to.Zones,
		func(z declare.Zone) string { return z.Name },
		func(z declare.Zone) string { return pick(z.Out, "out", "in") },
		func(a, b declare.Zone) []string {
			return nonEmpty(changedValue("", pick(a.Out, "out", "in"), pick(b.Out, "out", "in")))
		})...)
	changes = append(changes, compareItems("service", from.Services, to.Services,
		func(s declare.Service) string { return s.Name },
		func(s declare.Service) string {
			return fmt.Sprintf("%s, %d replicas, %d slots, bears_cold %d, %d connections", s.Phase, s.Replicas, s.Slots, s.BearsCold, s.Connections)
		},
		func(a, b declare.Service) []string {
			return nonEmpty(changedValue("phase", a.Phase, b.Phase), changedValue("replicas", a.Replicas, b.Replicas), changedValue("slots", a.Slots, b.Slots),
				changedValue("bears_cold", a.BearsCold, b.BearsCold), changedValue("connections", a.Connections, b.Connections))
		})...)
	changes = append(changes, compareItems("search", from.Searches, to.Searches,
		func(s declare.Search) string { return s.Name },
		func(s declare.Search) string {
			return fmt.Sprintf("class %s, priority %s, %s", s.Class, s.Priority, count(len(s.Services), "service"))
		},
		func(a, b declare.Search) []string {
			return nonEmpty(changedValue("class", a.Class, b.Class), changedValue("priority", a.Priority, b.Priority), changedServices(a.Services, b.Services, false))
		})...)
	changes = append(changes, compareItems("operation", from.Operations, to.Operations,
		func(o declare.Operation) string { return o.Name },
		func(o declare.Operation) string { return "services " + strings.Join(o.Services, ", ") },
		func(a, b declare.Operation) []string { return nonEmpty(changedServices(a.Services, b.Services, true)) })...)
	for _, t := range to.RetiredTargets {
		if !slices.Contains(from.RetiredTargets, t) {
			changes = append(changes, Change{"target", t, "retired"})
		}
	}
	for _, t := range from.RetiredTargets {
		if !slices.Contains(to.RetiredTargets, t) {
			changes = append(changes, Change{"target", t, "no longer retired"})
		}
	}
	return changes
}

// compareItems lists the items that were added, changed or removed. name and
// describe return the name and the content of an item, and differ the differences
// between two items of the same name.
func compareItems[T any](kind string, from, to []T, name, describe func(T) string, differ func(a, b T) []string) []Change {
	var changes []Change
	old := map[string]T{}
	for _, f := range from {
		old[name(f)] = f
	}
	present := map[string]bool{}
	for _, t := range to {
		n := name(t)
		present[n] = true
		f, ok := old[n]
		if !ok {
			changes = append(changes, Change{kind, n, "added: " + describe(t)})
			continue
		}
		for _, d := range differ(f, t) {
			changes = append(changes, Change{kind, n, d})
		}
	}
	for _, f := range from {
		if n := name(f); !present[n] {
			changes = append(changes, Change{kind, n, "removed"})
		}
	}
	return changes
}

// changedValue describes the change of a field, or returns "" for equal values.
func changedValue[T comparable](field string, from, to T) string {
	if from == to {
		return ""
	}
	return strings.TrimSpace(fmt.Sprintf("%s %v -> %v", field, from, to))
}

func nonEmpty(changes ...string) []string {
	return slices.DeleteFunc(changes, func(s string) bool { return s == "" })
}

// changedServices describes the difference between two lists of services, or
// returns "" if there is none. The order counts only if ordered is set.
func changedServices(from, to []string, ordered bool) string {
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

// returnedToService lists the zones that are out and the retired targets of from
// that to would return to service.
func returnedToService(from, to declare.Document) []string {
	var returned []string
	for _, z := range from.Zones {
		staysOut := slices.ContainsFunc(to.Zones, func(t declare.Zone) bool { return t.Name == z.Name && t.Out })
		if z.Out && !staysOut {
			returned = append(returned, "zone "+z.Name+" is out")
		}
	}
	for _, t := range from.RetiredTargets {
		if !slices.Contains(to.RetiredTargets, t) {
			returned = append(returned, "target "+t+" is retired")
		}
	}
	return returned
}
