package once

import (
	"context"
	"encoding/json"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/lifecycle"
)

// cleanupInterval is short compared to KeyLifetime, and long enough that listing
// all records costs little.
const cleanupInterval = 15 * time.Minute

// JanitorController deletes the records and closing objects that are older than
// KeyLifetime.
type JanitorController struct {
	logger   *log.Logger
	records  Records
	isLeader func() bool
}

// NewJanitorController returns a controller that is active only while isLeader
// returns true. Two leaders at a time do no harm, since deletes are conditional.
func NewJanitorController(logger *log.Logger, records Records, isLeader func() bool) *JanitorController {
	return &JanitorController{logger: logger, records: records, isLeader: isLeader}
}

// Run reconciles until ctx ends.
func (c *JanitorController) Run(ctx context.Context) error {
	return lifecycle.Every(ctx, cleanupInterval, func(time.Time) {
		if c.isLeader() {
			c.reconcile(ctx, time.Now())
		}
	})
}

func (c *JanitorController) reconcile(ctx context.Context, now time.Time) {
	for _, kind := range []string{RecordKind, ClosedKind} {
		items, _, err := c.records.List(ctx, kind)
		if err != nil {
			c.logger.Warn().Str("event", "once_janitor").Err(err).Msg("cannot list at-most-once records")
			return
		}
		for _, obj := range items {
			created, ok := createdAt(obj.Value)
			if !ok || now.Sub(created) <= KeyLifetime {
				continue
			}
			if err := c.records.Delete(ctx, kind, obj.Name, obj.Version); err != nil {
				c.logger.Warn().Str("event", "once_janitor").Str("key", obj.Name).Err(err).Msg("cannot delete expired at-most-once record")
			}
		}
	}
}

// createdAt returns the creation time of a record or closing object. It returns
// false for an object that cannot be decoded, which is kept because its key may
// still be in use.
func createdAt(value []byte) (time.Time, bool) {
	var v struct {
		CreatedUnixMs int64 `json:"created_unix_ms"`
		ClosedUnixMs  int64 `json:"closed_unix_ms"`
	}
	if err := json.Unmarshal(value, &v); err != nil {
		return time.Time{}, false
	}
	ms := max(v.CreatedUnixMs, v.ClosedUnixMs)
	return time.UnixMilli(ms), ms > 0
}
