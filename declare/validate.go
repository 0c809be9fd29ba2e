package declare

import (
	"fmt"
	"regexp"
	"slices"
)

// Bounds of a declaration.
const (
	MaxZones       = 64
	MaxServices    = 2000
	MaxSearches    = 1000
	MaxOperations  = 1000
	MaxReplicas    = 1000
	MaxSlots       = 1000
	MaxConnections = 100_000
	// MaxBytes is the largest value that the platform holds.
	MaxBytes = 1 << 20
)

// Fault is one broken rule of a Document.
type Fault struct {
	// Path is the place in the document, such as "services[3].slots".
	Path string
	// Message says what is wrong and what would be right.
	Message string
}

// Error formats the fault as PATH: MESSAGE.
func (f *Fault) Error() string { return f.Path + ": " + f.Message }

// The patterns are strict because names become parts of object names and addresses
// at the platform.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	targetPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
)

// Validate checks a configuration and returns one *Fault for each broken rule, in the
// order of the document. Config.Print and baobabsillctl use it.
func Validate(d Document) []error {
	v := &validator{}
	v.name("name", d.Name)
	v.zones(d.Zones)
	services := v.services(d.Services)
	seen := map[string]int{}
	v.count("searches", len(d.Searches), 0, MaxSearches)
	for i, s := range d.Searches {
		at := fmt.Sprintf("searches[%d]", i)
		v.unique(at, "searches", s.Name, i, seen)
		if v.oneOf(at+".class", string(s.Class), string(ClassPartial), string(ClassComplete)) &&
			v.oneOf(at+".priority", string(s.Priority), string(PriorityCritical), string(PriorityNormal), string(PriorityBrowse)) &&
			s.Class == ClassComplete && s.Priority != PriorityCritical {
			v.fail(at+".priority", "search %q: class complete contradicts priority %s; a complete search is always critical", s.Name, s.Priority)
		}
		v.references(at, "search", s.Name, s.Services, services)
	}
	clear(seen)
	v.count("operations", len(d.Operations), 0, MaxOperations)
	for i, o := range d.Operations {
		at := fmt.Sprintf("operations[%d]", i)
		v.unique(at, "operations", o.Name, i, seen)
		v.references(at, "operation", o.Name, o.Services, services)
	}
	clear(seen)
	for i, name := range d.RetiredTargets {
		at := fmt.Sprintf("retired_targets[%d]", i)
		if !targetPattern.MatchString(name) {
			v.fail(at, "bad target name %q: want 1 to 128 letters, digits, '.', '_' or '-'", name)
		} else if first, duplicate := seen[name]; duplicate {
			v.fail(at, "duplicate name %q, first in retired_targets[%d]", name, first)
		} else {
			seen[name] = i
		}
	}
	if b, err := Encode(d); err != nil {
		v.fail("document", "cannot encode: %v", err)
	} else if len(b) > MaxBytes {
		v.fail("document", "%d bytes, but the platform holds at most %d", len(b), MaxBytes)
	}
	return v.errs
}

type validator struct{ errs []error }

func (v *validator) fail(path, format string, args ...any) {
	v.errs = append(v.errs, &Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) name(path, name string) bool {
	if namePattern.MatchString(name) {
		return true
	}
	v.fail(path, "bad name %q: want 1 to 63 of a-z, 0-9 and '-', no '-' at the ends", name)
	return false
}

// unique checks that the name of an item is well formed and differs from the names
// before it in its list, which are in seen.
func (v *validator) unique(at, list, name string, i int, seen map[string]int) {
	if !v.name(at+".name", name) {
		return
	}
	if first, duplicate := seen[name]; duplicate {
		v.fail(at+".name", "duplicate name %q, first in %s[%d]", name, list, first)
		return
	}
	seen[name] = i
}

func (v *validator) count(path string, n, low, high int) {
	if n < low || n > high {
		v.fail(path, "%d declared: want %d to %d", n, low, high)
	}
}

func (v *validator) inRange(path, service string, n, low, high int) {
	if n < low || n > high {
		v.fail(path, "service %q: %d is out of range: want %d to %d", service, n, low, high)
	}
}

func (v *validator) oneOf(path, value string, values ...string) bool {
	if slices.Contains(values, value) {
		return true
	}
	v.fail(path, "bad value %q: want one of %q", value, values)
	return false
}

func (v *validator) zones(zones []Zone) {
	v.count("zones", len(zones), 1, MaxZones)
	seen, out := map[string]int{}, 0
	for i, z := range zones {
		v.unique(fmt.Sprintf("zones[%d]", i), "zones", z.Name, i, seen)
		if z.Out {
			out++
		}
	}
	if out > 0 && out == len(zones) {
		v.fail("zones", "every zone is out; at least one has to serve")
	}
}

// services checks the services and returns the index of each by name.
func (v *validator) services(services []Service) map[string]int {
	v.count("services", len(services), 1, MaxServices)
	seen := map[string]int{}
	for i, s := range services {
		at := fmt.Sprintf("services[%d]", i)
		v.unique(at, "services", s.Name, i, seen)
		v.oneOf(at+".phase", string(s.Phase), string(PhaseSteady), string(PhaseRetiring), string(PhaseNew))
		v.inRange(at+".replicas", s.Name, s.Replicas, 1, MaxReplicas)
		v.inRange(at+".slots", s.Name, s.Slots, 1, MaxSlots)
		v.inRange(at+".bears_cold", s.Name, s.BearsCold, 1, MaxSlots)
		v.inRange(at+".connections", s.Name, s.Connections, 1, MaxConnections)
		if s.Slots < 1 || s.Slots > MaxSlots {
			continue
		}
		if s.BearsCold > s.Slots && s.BearsCold <= MaxSlots {
			v.fail(at+".bears_cold", "service %q: bears_cold %d is more than slots %d", s.Name, s.BearsCold, s.Slots)
		}
		// A holder keeps slots + 1 connections to a target. During a handover the
		// previous holder still has as many.
		if need := 2 * (s.Slots + 1); s.Connections >= 1 && s.Connections < need {
			v.fail(at+".connections", "service %q: %d connections are too few for %d slots: a handover needs %d", s.Name, s.Connections, s.Slots, need)
		}
	}
	return seen
}

func (v *validator) references(at, kind, name string, names []string, services map[string]int) {
	if len(names) == 0 {
		v.fail(at+".services", "%s %q names no service", kind, name)
	}
	seen := map[string]bool{}
	for i, n := range names {
		path := fmt.Sprintf("%s.services[%d]", at, i)
		if _, ok := services[n]; !ok {
			v.fail(path, "%s %q names the unknown service %q", kind, name, n)
		} else if seen[n] {
			v.fail(path, "%s %q names the service %q twice", kind, name, n)
		}
		seen[n] = true
	}
}
