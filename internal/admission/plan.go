package admission

import "math"

// Plan is what the listeners of a process may hold.
type Plan struct{ Callers, Peers, Admin Limits }

// Divide returns a Plan that bounds nothing.
func Divide() Plan {
	all := Limits{Conns: math.MaxInt, Bytes: math.MaxInt64}
	return Plan{all, all, all}
}
