package target

import "time"

// maxStopDelay is the time after which a draining target, or a target in a zone
// that was taken out, must get no new requests.
const maxStopDelay = 3 * time.Second

// Counts is what a target recorded over all its incarnations since New.
type Counts struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Cold    bool   `json:"cold"`
	// Arrived counts all requests that were read, Started those that were admitted.
	Arrived int64 `json:"arrived"`
	Started int64 `json:"started"`
	// Answered counts the answers to requests that ran to their end, including
	// faulty ones.
	Answered int64 `json:"answered"`
	// MaxCold and MaxWarm are the most requests offered at once to the target
	// while it was cold or warm.
	MaxCold int `json:"max_cold"`
	MaxWarm int `json:"max_warm"`
	// ColdViolations counts the arrivals above Behaviour.BearsCold at a cold
	// target. UnwarnedViolations counts those of them that came before any reply
	// could tell a sender of the current cold start; ColdViolations omits them.
	ColdViolations     int64 `json:"cold_violations"`
	UnwarnedViolations int64 `json:"unwarned_violations"`
	// AfterDrain and AfterZoneOut count the arrivals during a drain or while the
	// zone is out, the fields with Late those more than 3 s after its start. The
	// fields with LastMS are the time from its start to the last arrival.
	AfterDrain       int64 `json:"after_drain"`
	LateAfterDrain   int64 `json:"late_after_drain"`
	DrainLastMS      int64 `json:"drain_last_ms"`
	AfterZoneOut     int64 `json:"after_zone_out"`
	LateAfterZoneOut int64 `json:"late_after_zone_out"`
	ZoneOutLastMS    int64 `json:"zone_out_last_ms"`
	// Duplicates counts the runs of an execute key after its first run on this
	// target.
	Duplicates int64 `json:"duplicates"`
	Cancelled  int64 `json:"cancelled"`
	// FaultyAnswers counts late, crossed, truncated and duplicated answers.
	FaultyAnswers int64 `json:"spoilt"`
	// Refused counts refusals by X-Outcome.
	Refused            map[string]int64 `json:"refused"`
	Connections        int              `json:"connections"`
	MaxConnections     int              `json:"max_connections"`
	RefusedConnections int64            `json:"refused_connections"`
}

func (c *Counts) recordArrival(now, drainedAt, zoneOutAt time.Time) {
	c.Arrived++
	if !drainedAt.IsZero() {
		after := now.Sub(drainedAt)
		c.AfterDrain++
		c.DrainLastMS = after.Milliseconds()
		if after > maxStopDelay {
			c.LateAfterDrain++
		}
	}
	if !zoneOutAt.IsZero() {
		after := now.Sub(zoneOutAt)
		c.AfterZoneOut++
		c.ZoneOutLastMS = after.Milliseconds()
		if after > maxStopDelay {
			c.LateAfterZoneOut++
		}
	}
}
