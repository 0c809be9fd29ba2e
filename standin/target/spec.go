// Package target is a test stand-in for the targets (back ends) of one
// availability zone. It is never shipped.
package target

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Behaviour describes the capacity and the timing of a target. A zero value
// switches a feature off, except for Slots, BearsCold and Connections, which must
// be positive.
type Behaviour struct {
	// Slots and BearsCold are the limits of requests at once while the target is
	// warm and while it is cold; Connections is the limit of open connections.
	Slots       int `json:"slots"`
	BearsCold   int `json:"bears_cold"`
	Connections int `json:"connections"`
	// ConnectMS is the set-up time of a new connection.
	ConnectMS float64 `json:"connect_ms"`
	// ServiceMS is the median of the log-normal service time, Sigma the standard
	// deviation of its logarithm.
	ServiceMS float64 `json:"service_ms"`
	Sigma     float64 `json:"sigma"`
	// StragglerShare is the share of requests that take StragglerFactor times as
	// long.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// PauseMS is the length of pauses, in which no request ends. PauseEveryMS is
	// the mean gap between them.
	PauseMS      float64 `json:"pause_ms"`
	PauseEveryMS float64 `json:"pause_every_ms"`
	// A cold start ends after ColdMS or after ColdRequests completed requests,
	// whichever comes first; with neither set the target is always warm.
	ColdMS       float64 `json:"cold_ms"`
	ColdRequests int     `json:"cold_requests"`
	// ColdFactor multiplies the service time while cold.
	ColdFactor float64 `json:"cold_factor"`
	// OverloadMS is how long a cold target sheds all requests after it was
	// offered more than BearsCold at once.
	OverloadMS float64 `json:"fall_over_ms"`
	Seed       uint64  `json:"seed"`
}

// Snapshot is one version of an index: the number of items of each shard.
type Snapshot struct {
	ID     string         `json:"id"`
	Shards map[string]int `json:"shards"`
}

// Spec describes one target.
type Spec struct {
	Service   string     `json:"service"`
	Name      string     `json:"name"`
	Listen    string     `json:"listen"`
	Behaviour Behaviour  `json:"behaviour"`
	Snapshots []Snapshot `json:"snapshots"`
}

// ZoneSpec describes all targets of an availability zone.
type ZoneSpec struct {
	Zone string `json:"zone"`
	// Platform is the base URL of the platform stand-in; empty for no registration.
	Platform    string `json:"platform"`
	AdminListen string `json:"admin_listen"`
	Targets     []Spec `json:"targets"`
}

// Item is one result of a search. It repeats the snapshot, the shard and the
// query, so that a caller can check that all items belong to its own request.
type Item struct {
	ID       string `json:"id"`
	Snapshot string `json:"snapshot"`
	Shard    string `json:"shard"`
	Query    string `json:"q"`
}

func makeItems(snapshot, shard, query string, n int) []Item {
	items := make([]Item, n)
	for i := range items {
		items[i] = Item{fmt.Sprintf("%s/%s/%d", snapshot, shard, i), snapshot, shard, query}
	}
	return items
}

// stringField returns the string field of a JSON object, or of the object in its
// field "query" or "body".
func stringField(raw []byte, field string) string {
	var m map[string]json.RawMessage
	if json.Unmarshal(raw, &m) != nil {
		return ""
	}
	var s string
	if json.Unmarshal(m[field], &s) == nil && s != "" {
		return s
	}
	for _, inner := range []string{"query", "body"} {
		if v, ok := m[inner]; ok {
			if s := stringField(v, field); s != "" {
				return s
			}
		}
	}
	return ""
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// timing draws service times and pauses from a seeded source. It belongs to one
// Target and is guarded by its mutex.
type timing struct {
	rng                    *rand.Rand
	pauseStart, pauseUntil time.Time
}

func newTiming(seed uint64) *timing {
	return &timing{rng: rand.New(rand.NewPCG(seed, 0x5eed))}
}

func (t *timing) serviceTime(b Behaviour, cold bool) time.Duration {
	ms := b.ServiceMS * math.Exp(b.Sigma*t.rng.NormFloat64())
	if t.rng.Float64() < b.StragglerShare {
		ms *= b.StragglerFactor
	}
	if cold && b.ColdFactor > 0 {
		ms *= b.ColdFactor
	}
	return millis(ms)
}

// pausedUntil returns the end of the pause that covers now, or the zero time.
func (t *timing) pausedUntil(b Behaviour, now time.Time) time.Time {
	if b.PauseMS > 0 && b.PauseEveryMS > 0 {
		if t.pauseStart.IsZero() {
			t.pauseStart = now
			t.pauseUntil = now
		}
		for !now.Before(t.pauseUntil) {
			gap := b.PauseEveryMS * (0.5 + t.rng.Float64())
			t.pauseStart = t.pauseUntil.Add(millis(gap))
			t.pauseUntil = t.pauseStart.Add(millis(b.PauseMS))
		}
		if !now.Before(t.pauseStart) {
			return t.pauseUntil
		}
	}
	return time.Time{}
}
