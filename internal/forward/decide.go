package forward

import (
	"fmt"
	"time"
)

// cutAt is when an answer over many shards has to leave to be in time.
func (r *run) cutAt() time.Time {
	return earlier(r.start.Add(r.route.Objective-deliveryMargin), r.end)
}

// lateAt is how long an answer that is late anyway waits for the rest of its
// shards.
func (r *run) lateAt() time.Time {
	return earlier(r.start.Add(2*r.route.Objective), r.end)
}

// decide returns the answer if the request has ended.
func (r *run) decide(now time.Time) (Answer, bool) {
	in, open := 0, 0
	for i := range r.shards {
		if r.shards[i].reply != nil {
			in++
		} else if !r.shards[i].closed {
			open++
		}
	}
	if open == 0 && (enough(in, len(r.shards), r.route) || !r.takeSpare()) || !now.Before(r.end) {
		return r.finish(in, now), true
	}
	if !r.route.IsScatter() {
		return r.refuseWaiting(now)
	}
	if !enough(in+open, len(r.shards), r.route) && !r.takeSpare() {
		return r.finish(in, now), true
	}
	if enough(in, len(r.shards), r.route) && r.mustLeave(now) {
		return r.merge(in), true
	}
	return Answer{}, false
}

// mustLeave reports whether an answer that covers enough shards leaves now
// without the others: when it is just in time, or late and has waited for the
// rest.
func (r *run) mustLeave(now time.Time) bool {
	objective := r.start.Add(r.route.Objective)
	return !now.Before(r.cutAt()) && now.Before(objective) || !now.Before(r.lateAt())
}

// refuseWaiting refuses a request that found no room at any replica for a
// quarter of its objective.
func (r *run) refuseWaiting(now time.Time) (Answer, bool) {
	sh := &r.shards[0]
	if sh.live == 0 && !sh.mayHaveRun && now.Sub(r.start) > r.route.Objective/4 {
		return refusal(sh.reason, RetryHint(r.route.Objective)), true
	}
	return Answer{}, false
}

// finish returns the answer when nothing more will come in.
func (r *run) finish(in int, now time.Time) Answer {
	if r.route.IsScatter() && enough(in, len(r.shards), r.route) {
		return r.merge(in)
	}
	if !r.route.IsScatter() {
		switch sh := &r.shards[0]; {
		case sh.reply != nil:
			return Answer{Code: Forwarded, Reply: *sh.reply, Replica: sh.by}
		case sh.failure != nil && sh.live == 0:
			return Answer{Code: Forwarded, Reason: "replica failed", Reply: *sh.failure, Replica: sh.by}
		}
	}
	ran, reason := false, "too few shards"
	for i := range r.shards {
		sh := &r.shards[i]
		ran = ran || sh.mayHaveRun || sh.live > 0
		if !r.route.IsScatter() {
			reason = sh.reason
		}
	}
	switch {
	case !ran:
		return refusal(reason, RetryHint(r.route.Objective))
	case !now.Before(r.end):
		return Answer{Code: TimedOut, Reason: reason, Absent: r.absent()}
	}
	return Answer{Code: Unknown, Reason: reason, Absent: r.absent()}
}

// maxAbsent bounds the shards that a log line names.
const maxAbsent = 5

// absent describes the shards that did not answer.
func (r *run) absent() []string {
	var list []string
	for i := range r.shards {
		if sh := &r.shards[i]; sh.reply == nil && len(list) < maxAbsent {
			list = append(list, fmt.Sprintf("%s: %s, %d sent, %d waiting", sh.service, sh.reason, sh.sends, sh.live))
		}
	}
	return list
}

// merge puts the parts together that are in.
func (r *run) merge(in int) Answer {
	a := Answer{Code: Merged, Missing: len(r.shards) - in, Signatures: make([]string, 0, in)}
	top := topRecords{limit: r.route.TopK}
	for i := range r.shards {
		if reply := r.shards[i].reply; reply != nil {
			a.Signatures = append(a.Signatures, reply.Signature)
			top.add(reply.Body)
		}
	}
	if a.Missing > 0 {
		a.Reason, a.Absent = "shards missing", r.absent()
	}
	a.Records = top.falling()
	return a
}
