package replica

import (
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/internal/catalog"
)

// Answers arrive out of order. Guards against a limit that an answer from before it
// lifts or raises, and against one that is missed because its answer came late.
func TestLateAnswersDoNotLiftTheRateLimit(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	named := func(perSecond float64) RateLimit { return RateLimit{RateLimitNamed, perSecond} }
	absent, unstated := RateLimit{Statement: RateLimitAbsent}, RateLimit{}
	type answer struct {
		started, arrived int
		stated           RateLimit
	}
	cases := map[string]struct {
		answers []answer
		limited bool
		want    float64
	}{
		"named":                      {[]answer{{1, 2, named(8)}}, true, 8},
		"lifted":                     {[]answer{{1, 2, named(8)}, {3, 4, absent}}, false, 0},
		"not lifted by earlier":      {[]answer{{3, 4, named(8)}, {2, 5, absent}}, true, 8},
		"not lifted by rejection":    {[]answer{{1, 2, named(8)}, {3, 4, unstated}}, true, 8},
		"lowered by late answer":     {[]answer{{3, 4, named(8)}, {2, 5, named(5)}}, true, 5},
		"not raised by late answer":  {[]answer{{3, 4, named(8)}, {2, 5, named(20)}}, true, 8},
		"raised":                     {[]answer{{1, 2, named(8)}, {3, 4, named(20)}}, true, 20},
		"named by late answer again": {[]answer{{1, 2, named(8)}, {3, 4, absent}, {1, 5, named(8)}}, true, 8},
	}
	for name, c := range cases {
		var l rateLimit
		for _, a := range c.answers {
			l.observe(at(a.arrived), at(a.started), a.stated)
		}
		if l.named != c.limited || l.perSecond != c.want {
			t.Errorf("%s: limited %t to %g, want %t to %g", name, l.named, l.perSecond, c.limited, c.want)
		}
	}
}

// Entries of replicas lapse while the store is away and come back after it. Guards
// against a limit that is forgotten meanwhile: all instances would then send to the
// replica again until each has an answer. A later incarnation starts without it.
func TestRateLimitOutlivesTheListing(t *testing.T) {
	named := Result{Outcome: NotRun, RateLimit: RateLimit{RateLimitNamed, 8}}
	p := newTestPool(&scriptedClient{results: []Result{named}})
	sendOne(t, p, listedReplica)
	p.RemoveUnlisted(catalog.NewStore(0).Load())
	if !p.Backend(listedReplica, twoConnections).Limited() {
		t.Error("the limit was forgotten while the replica was not listed")
	}
	p.RemoveUnlisted(catalog.NewStore(0).Load())
	restarted := listedReplica
	restarted.StartedAt = 2
	if p.Backend(restarted, twoConnections).Limited() {
		t.Error("a restarted replica has the limit of its earlier incarnation")
	}
}

// Guards against requests that are counted as left over from an earlier limit: an
// exchange that was not sent gives back its request only while the limit is in force.
func TestRefundEndsWithTheRateLimit(t *testing.T) {
	start := time.Now()
	var l rateLimit
	l.observe(start, start, RateLimit{RateLimitNamed, 2})
	l.take(start.Add(time.Second), RateShare{Senders: 1})
	l.observe(start.Add(2*time.Second), start.Add(time.Second), RateLimit{Statement: RateLimitAbsent})
	l.refund()
	l.observe(start.Add(3*time.Second), start.Add(3*time.Second), RateLimit{RateLimitNamed, 2})
	if l.tokens != 0 || l.sent != 0 {
		t.Errorf("a new limit starts with %g requests left and %d sent, want none", l.tokens, l.sent)
	}
}
