package gateway

import "time"

// abandon stops a query that can no longer be answered: it cancels all attempts
// and sends no others. The query still waits for the cancelled attempts, which
// end soon, because it counts as not run only if none of them reached a target.
func (s *scatterRun) abandon() {
	s.abandoned = true
	for i := range s.shards {
		sh := &s.shards[i]
		sh.hedgeAt, sh.rerouteAt = time.Time{}, time.Time{}
		for j := range sh.attempts {
			if !sh.attempts[j].done {
				sh.attempts[j].cancel()
			}
		}
		s.endAbandoned(sh)
	}
}

// endAbandoned ends a shard of an abandoned query once no attempt is in flight.
// It sets no reason, so that the reason of the shard that failed first stays.
func (s *scatterRun) endAbandoned(sh *shardRun) {
	if !sh.done && sh.inFlight == 0 {
		sh.done = true
		s.undecided--
	}
}
