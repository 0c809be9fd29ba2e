package gateway

import "time"

// abandon ends a query that cannot be answered any more: it cancels all
// attempts and sends nothing else. The attempts still report, which takes no
// longer than their cancellation, so that the query ends as not run if no
// target saw any of them.
func (s *scatterRun) abandon() {
	s.lost = true
	for i := range s.shards {
		sh := &s.shards[i]
		sh.hedgeAt, sh.retryAt = time.Time{}, time.Time{}
		for j := range sh.attempts {
			if !sh.attempts[j].done {
				sh.attempts[j].cancel()
			}
		}
		s.endAbandoned(sh)
	}
}

// endAbandoned ends a shard that has no attempt left. It keeps the reason of
// the shard that was lost first.
func (s *scatterRun) endAbandoned(sh *shardRun) {
	if !sh.done && sh.live == 0 {
		sh.done = true
		s.open--
	}
}
