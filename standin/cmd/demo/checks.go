package main

import (
	"fmt"
	"io"
	"sync"
)

// invariants are those of section 1.2 of the design page, in its order.
var invariants = []string{
	"Every answer comes from one snapshot.",
	"Every answer states its coverage truthfully.",
	"A cold target gets no more load than it bears.",
	"A zone that is taken out gets no new work after 3 s.",
	"A caller gets the whole answer to its own request.",
	"A refusal that says \"not run\" is true.",
	"A non-idempotent request runs at most once.",
	"A leaving target gets no new work after 3 s.",
	"Every planned stop is a graceful shutdown.",
	"An accepted configuration is in force within 3 s and never reverts.",
}

// checks collects the observations of each invariant, for the table at the end.
type checks struct {
	mu       sync.Mutex
	observed [][]string
	broken   []bool
}

func newChecks() *checks {
	return &checks{observed: make([][]string, len(invariants)), broken: make([]bool, len(invariants))}
}

// record adds an observation of an invariant, whose number counts from 1. With ok
// false, the invariant counts as broken.
func (c *checks) record(number int, ok bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	if !ok {
		text = "BROKEN: " + text
		c.broken[number-1] = true
	}
	c.observed[number-1] = append(c.observed[number-1], text)
}

func (c *checks) anyBroken() bool {
	for _, b := range c.broken {
		if b {
			return true
		}
	}
	return false
}

func (c *checks) print(w io.Writer) {
	fmt.Fprintln(w, "\nInvariants")
	for i, text := range invariants {
		verdict := "ok"
		switch {
		case c.broken[i]:
			verdict = "broken"
		case len(c.observed[i]) == 0:
			verdict = "not exercised"
		}
		fmt.Fprintf(w, "%3d  %-13s  %s\n", i+1, verdict, text)
		for _, o := range c.observed[i] {
			fmt.Fprintf(w, "%22s- %s\n", "", o)
		}
	}
}
