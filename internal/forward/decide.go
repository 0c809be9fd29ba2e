package forward

import (
	"fmt"
	"time"
)

// objectiveDeadline is the latest time to send an answer that still reaches the
// caller within the objective. A partial answer is sent then.
func (r *activeRequest) objectiveDeadline() time.Time { return earlier(r.onTime, r.deadline) }

// lateAnswerDeadline is when an answer that has missed its objective stops waiting
// for the remaining shards.
func (r *activeRequest) lateAnswerDeadline() time.Time { return earlier(r.late, r.deadline) }

// decide returns the answer and true if nothing more is to be waited for.
func (r *activeRequest) decide(now time.Time) (Answer, bool) {
	answered, open := r.countShards()
	if open == 0 && (answered >= r.required || !r.startDeferredShard()) || !now.Before(r.deadline) {
		return r.finalAnswer(answered, now), true
	}
	if !r.route.IsScatter() {
		return r.refuseIfNoCapacity(now)
	}
	if answered+open < r.required && !r.startDeferredShard() {
		return r.finalAnswer(answered, now), true
	}
	if answered >= r.required && r.mustAnswerNow(now) {
		return r.mergeReplies(answered), true
	}
	return Answer{}, false
}

// mustAnswerNow reports whether an answer that covers enough shards is sent now
// without the others: either the objective can only just be met, or it was missed
// and the additional wait for the remaining shards is over.
func (r *activeRequest) mustAnswerNow(now time.Time) bool {
	return !now.Before(r.objectiveDeadline()) && now.Before(r.objective) || !now.Before(r.lateAnswerDeadline())
}

// refusalDeadline is when a request is refused that is not in flight and cannot have
// run, early enough for the caller's next attempt to meet the objective.
func (r *activeRequest) refusalDeadline() time.Time {
	return earlier(r.start.Add(r.route.Objective/4), r.deadline)
}

// refuseIfNoCapacity refuses a request that is not in flight at its refusalDeadline and
// cannot have run: its replicas had no free connection or cold-start capacity, rejected
// it or were unreachable.
func (r *activeRequest) refuseIfNoCapacity(now time.Time) (Answer, bool) {
	sh := &r.shards[0]
	if sh.inFlight == 0 && !sh.mayHaveRun && !now.Before(r.refusalDeadline()) {
		return r.refuse(sh.reason), true
	}
	return Answer{}, false
}

// finalAnswer returns the answer when no more replies are waited for. answered is
// the number of shards with a reply.
func (r *activeRequest) finalAnswer(answered int, now time.Time) Answer {
	if r.route.IsScatter() && answered >= r.required {
		return r.mergeReplies(answered)
	}
	if !r.route.IsScatter() {
		switch sh := &r.shards[0]; {
		case sh.reply != nil:
			return Answer{Code: Forwarded, Reply: *sh.reply, Replica: sh.answeredBy}
		case sh.failure != nil && sh.inFlight == 0:
			return Answer{Code: Forwarded, Reason: "replica failed", Reply: *sh.failure, Replica: sh.answeredBy}
		}
	}
	mayHaveRun, reason := false, "too few shards"
	for i := range r.shards {
		sh := &r.shards[i]
		mayHaveRun = mayHaveRun || sh.mayHaveRun || sh.inFlight > 0 || sh.leafCalls > 0
		if !r.route.IsScatter() {
			reason = sh.reason
		}
	}
	if r.f.haveRequestsEnded(now) {
		reason = "instance stops"
	}
	switch {
	case !mayHaveRun:
		return r.refuse(reason)
	case !now.Before(r.deadline):
		return Answer{Code: TimedOut, Reason: reason, MissingDetails: r.describeMissing()}
	}
	return Answer{Code: Unknown, Reason: reason, MissingDetails: r.describeMissing()}
}

// maxDescribedShards bounds the missing shards that one log line describes.
const maxDescribedShards = 5

// describeMissing describes the shards that did not answer, for the log.
func (r *activeRequest) describeMissing() []string {
	var list []string
	for i := range r.shards {
		if sh := &r.shards[i]; !sh.answered() && len(list) < maxDescribedShards {
			list = append(list, fmt.Sprintf("%s: %s, %d sent, %d waiting", sh.service, sh.reason, sh.sends, sh.inFlight))
		}
	}
	return list
}

// mergeReplies merges the replies received, one from each answered shard.
func (r *activeRequest) mergeReplies(answered int) Answer {
	a := Answer{Code: Merged, MissingCount: len(r.shards) - answered, Signatures: make([]string, 0, answered)}
	top := topRecords{limit: r.route.TopK}
	for i := range r.shards {
		switch sh := &r.shards[i]; {
		case sh.reply != nil:
			a.Signatures = append(a.Signatures, sh.reply.Signature)
			top.add(sh.reply.Body)
		case sh.signature != "":
			a.Signatures = append(a.Signatures, sh.signature)
		}
	}
	for _, g := range r.replies {
		if g.used {
			top.add(g.reply.Records)
		}
	}
	if a.MissingCount > 0 {
		a.Reason, a.MissingDetails = "shards missing", r.describeMissing()
	}
	a.LeafCalls = r.leafCalls
	a.Records = top.descending()
	return a
}
