package replica

import (
	"math"
	"time"
)

// halfLives returns the share that is left after a time.
func halfLives(d time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(healthHalfLife))
}
