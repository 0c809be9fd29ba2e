package target

import "time"

// stopBound is the time after which a drained target or a zone that was taken
// out must get no new work.
const stopBound = 3 * time.Second

// Counts is what a target recorded since its process started, over all its
// incarnations.
type Counts struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Cold    bool   `json:"cold"`
	// Arrived counts all requests that were read, Started those that ran.
	Arrived int64 `json:"arrived"`
	Started int64 `json:"started"`
	// Answered counts whole answers that were handed to the connection.
	Answered int64 `json:"answered"`
	// MaxCold and MaxWarm are the most requests offered at once in that state.
	MaxCold int `json:"max_cold"`
	MaxWarm int `json:"max_warm"`
	// ColdViolations counts arrivals above what a cold target bears.
	// UnwarnedViolations counts those that came while no reply had told a
	// sender of the present cold state; ColdViolations leaves them out.
	ColdViolations     int64 `json:"cold_violations"`
	UnwarnedViolations int64 `json:"unwarned_violations"`
	// AfterDrain and AfterZoneOut count all arrivals after the event, the
	// fields with Late those after more than 3 s. LastMS is the time of the
	// last arrival after the event.
	AfterDrain       int64 `json:"after_drain"`
	LateAfterDrain   int64 `json:"late_after_drain"`
	DrainLastMS      int64 `json:"drain_last_ms"`
	AfterZoneOut     int64 `json:"after_zone_out"`
	LateAfterZoneOut int64 `json:"late_after_zone_out"`
	ZoneOutLastMS    int64 `json:"zone_out_last_ms"`
	// Duplicates counts runs of an execute key beyond the first on this target.
	Duplicates int64 `json:"duplicates"`
	Cancelled  int64 `json:"cancelled"`
	// Spoilt counts late, crossed, truncated and duplicated answers.
	Spoilt int64 `json:"spoilt"`
	// Refused counts refusals by X-Outcome.
	Refused            map[string]int64 `json:"refused"`
	Connections        int              `json:"connections"`
	MaxConnections     int              `json:"max_connections"`
	RefusedConnections int64            `json:"refused_connections"`
}

func (c *Counts) arrive(now, drainedAt, zoneOutAt time.Time) {
	c.Arrived++
	if !drainedAt.IsZero() {
		after := now.Sub(drainedAt)
		c.AfterDrain++
		c.DrainLastMS = after.Milliseconds()
		if after > stopBound {
			c.LateAfterDrain++
		}
	}
	if !zoneOutAt.IsZero() {
		after := now.Sub(zoneOutAt)
		c.AfterZoneOut++
		c.ZoneOutLastMS = after.Milliseconds()
		if after > stopBound {
			c.LateAfterZoneOut++
		}
	}
}
