package forward

import (
	"errors"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/policy"
)

const (
	// maxLeavesAsked bounds the leaves that are asked for a group before those of other
	// zones, maxGroupCalls all that are asked for it.
	maxLeavesAsked = 2
	maxGroupCalls  = 4
	// maxResumes bounds how often a leaf is asked for the rest of a call.
	maxResumes = 4
	// minLeafReplyTime is the least time after which a leaf has to reply.
	minLeafReplyTime = 5 * time.Millisecond
)

// shardGroup is a group of shards of a query for which members of a bucket in a zone are
// asked. Only the goroutine of its activeRequest changes it.
type shardGroup struct {
	r      *activeRequest
	shards []int // indexes in the request
	leaves []policy.Instance
	zones  []string // in which leaves were asked for the shards, this group's last
	asked  []string // names of the leaves that were asked
	next   policy.Instance
	// repeat is set once a leaf may have sent the query to replicas, silent once one did
	// not reply in time.
	repeat  bool
	silent  bool
	hedgeAt time.Time // zero if no hedge is scheduled
}

// leafCall is a call to a leaf for the open shards of one or more groups. While some of
// them are pending at the leaf, it is asked again.
type leafCall struct {
	number uint64
	leaf   policy.Instance
	groups []*shardGroup
	shards []int // indexes in the request
	// due are the shards without a final reply, by their index in shards.
	due     map[int]bool
	resumes int
}

// leafReply is the end of one exchange with a leaf.
type leafReply struct {
	call    *leafCall
	started time.Time
	GatherReply
	err error
}

func newShardGroup(r *activeRequest, g plannedGroup) *shardGroup {
	return &shardGroup{r: r, shards: g.shards, leaves: g.leaves, zones: []string{g.zone}}
}

// open returns the shards of the group without a reply.
func (g *shardGroup) open() (list []int) {
	for _, i := range g.shards {
		if g.r.shards[i].isOpen() {
			list = append(list, i)
		}
	}
	return list
}

// isWaiting reports whether a call for one of the open shards is in flight.
func (g *shardGroup) isWaiting() bool {
	return slices.ContainsFunc(g.open(), func(i int) bool { return g.r.shards[i].leafCalls > 0 })
}

// chooseLeaf sets the leaf of the next call. It returns false if none is left.
func (g *shardGroup) chooseLeaf(now time.Time) bool {
	if len(g.asked) >= maxLeavesAsked {
		return false
	}
	book := g.r.f.leafBook
	for _, leaf := range g.leaves {
		if !slices.Contains(g.asked, leaf.Name) && !book.askLast(leaf.Name, now) {
			g.next = leaf
			return true
		}
	}
	return false
}

// startGroups makes the next call for each of the groups. A group whose zone has no leaf
// left, or may be cut off, is divided into groups in other zones, see moveGroup.
func (r *activeRequest) startGroups(groups []*shardGroup, now time.Time) {
	var ready []*shardGroup
	for pending := slices.Clone(groups); len(pending) > 0; {
		g := pending[0]
		pending = pending[1:]
		g.hedgeAt = time.Time{}
		switch {
		case len(g.open()) == 0:
		case !g.silent && g.chooseLeaf(now):
			ready = append(ready, g)
		default:
			pending = append(pending, r.moveGroup(g, now)...)
		}
	}
	for _, joined := range joinCalls(ready) {
		r.callLeaf(joined, now)
	}
}

// moveGroup divides the open shards of a group into new groups in zones where no leaf was
// asked for them. For the others, any leaf of the group is asked that was not yet; without
// one, they are closed unless a call for them is in flight.
func (r *activeRequest) moveGroup(g *shardGroup, now time.Time) (moved []*shardGroup) {
	open := g.open()
	for _, p := range r.f.currentView().groupShards(r.route, open, g.zones) {
		next := newShardGroup(r, p)
		next.zones = append(slices.Clone(g.zones), p.zone)
		next.repeat = g.repeat
		r.groups = append(r.groups, next)
		moved = append(moved, next)
		for _, i := range p.shards {
			r.shards[i].group = next
		}
	}
	g.shards = slices.DeleteFunc(open, func(i int) bool { return r.shards[i].group != g })
	if len(g.open()) == 0 {
		return moved
	}
	next := slices.IndexFunc(g.leaves, func(leaf policy.Instance) bool { return !slices.Contains(g.asked, leaf.Name) })
	switch {
	case g.chooseLeaf(now):
		r.callLeaf([]*shardGroup{g}, now)
	case g.isWaiting():
	case next >= 0 && len(g.asked) < maxGroupCalls:
		g.next = g.leaves[next]
		r.callLeaf([]*shardGroup{g}, now)
	default:
		g.close("no leaf")
	}
	return moved
}

// close closes the open shards of a group.
func (g *shardGroup) close(reason string) {
	for _, i := range g.open() {
		sh := &g.r.shards[i]
		sh.closed = true
		if sh.reason == "" {
			sh.reason = reason
		}
	}
}

// callLeaf calls the next leaf of some groups.
func (r *activeRequest) callLeaf(groups []*shardGroup, now time.Time) {
	call := &leafCall{number: r.f.lastCall.Add(1), leaf: groups[0].next, groups: groups, due: map[int]bool{}}
	repeat := false
	var names []string
	for _, g := range groups {
		g.asked = append(g.asked, call.leaf.Name)
		repeat = repeat || g.repeat
		for _, i := range g.open() {
			sh := &r.shards[i]
			repeat = repeat || sh.leafCalls > 0
			sh.leafCalls++
			call.due[len(call.shards)] = true
			call.shards = append(call.shards, i)
			names = append(names, sh.service)
		}
	}
	r.leafCalls++
	r.f.metrics.leafCalls.Inc(1)
	if repeat {
		r.f.metrics.leafRepeats.Inc(1)
	}
	r.exchangeWithLeaf(call, &GatherRequest{
		Query: r.req, Route: scatterRoute(r.route, names), Repeat: repeat, Home: groups[0].zones[0], Evacuated: r.f.store.Load().Evacuated(),
		ReplyWithin: r.firstReplyWithin(call.leaf, now),
	}, now)
}

// resumeCall asks the leaf of a call for the shards that are pending there.
func (r *activeRequest) resumeCall(call *leafCall, now time.Time) {
	call.resumes++
	within := r.objectiveDeadline().Sub(now) - r.leafOverhead(call.leaf)
	if within < minLeafReplyTime {
		// The objective is missed; the leaf replies once it has all, or when an answer
		// without the rest is sent.
		within = max(r.lateAnswerDeadline().Sub(now), minLeafReplyTime)
	}
	r.exchangeWithLeaf(call, &GatherRequest{Query: &Request{AttemptID: r.req.AttemptID}, Resume: true, Route: noRoute, ReplyWithin: within}, now)
}

// exchangeWithLeaf sends one request of a call. Its reply arrives on r.leafReplies. If it
// is overdue, other leaves are asked.
func (r *activeRequest) exchangeWithLeaf(call *leafCall, req *GatherRequest, now time.Time) {
	overhead := r.leafOverhead(call.leaf)
	req.From, req.Call = r.f.options.Load().Shares.Self, call.number
	req.Within = r.deadline.Sub(now)
	req.ReplyWithin = min(req.ReplyWithin, req.Within)
	req.AnswerWithin = max(r.objectiveDeadline().Sub(now)-overhead, 0)
	for _, g := range call.groups {
		g.hedgeAt = now.Add(req.ReplyWithin + overhead + minHedgeDelay)
	}
	r.inFlight++
	r.f.leafBook.start(call.leaf.Name, now)
	go func() {
		reply := leafReply{call: call, started: now}
		reply.GatherReply, reply.err = r.f.leaves.Gather(r.sendCtx, call.leaf.Name, req)
		if reply.err == nil {
			if reply.err = reply.validate(call.due, r.route.TopK); reply.err != nil {
				r.f.metrics.leafRepliesUnusable.Inc(1)
			}
		}
		r.f.leafBook.finish(&reply, r.sendCtx.Err() != nil, time.Now())
		if reply.err == nil {
			r.recordLeafTimes(&reply)
		}
		select {
		case r.leafReplies <- &reply:
		case <-r.ended:
		}
	}()
}

// handleLeafReply updates the shards of a call after an exchange with its leaf.
func (r *activeRequest) handleLeafReply(reply *leafReply, now time.Time) {
	r.inFlight--
	call := reply.call
	if reply.err != nil {
		r.handleLostCall(reply, now)
		return
	}
	set := make([]int, 0, len(reply.Answered))
	for _, a := range reply.Answered {
		delete(call.due, a.Shard)
		i := call.shards[a.Shard]
		r.shards[i].leafCalls--
		set = append(set, i)
	}
	r.replies = append(r.replies, gatheredReply{shards: set, reply: reply.GatherReply})
	r.chooseReplies()
	for _, m := range reply.Missing {
		sh := &r.shards[call.shards[m.Shard]]
		sh.mayHaveRun = sh.mayHaveRun || m.MayHaveRun
		if m.Pending {
			continue
		}
		delete(call.due, m.Shard)
		sh.leafCalls--
		if !sh.answered() {
			sh.reason = m.Reason
			// Another call in flight may still bring what this leaf could not get.
			sh.closed = sh.leafCalls == 0
		}
	}
	for _, g := range call.groups {
		g.repeat = true
		g.hedgeAt = time.Time{} // the leaf answers
	}
	if len(call.due) > 0 && call.resumes < maxResumes && now.Before(r.deadline) {
		r.resumeCall(call, now)
	}
}

// handleLostCall asks the next leaves after an exchange without a reply.
func (r *activeRequest) handleLostCall(reply *leafReply, now time.Time) {
	call := reply.call
	mayHaveRun := !errors.Is(reply.err, ErrNotGathered)
	reason := "leaf refused"
	if mayHaveRun {
		reason = "leaf lost"
	}
	for shard := range call.due {
		sh := &r.shards[call.shards[shard]]
		sh.leafCalls--
		sh.mayHaveRun = sh.mayHaveRun || mayHaveRun
		if !sh.answered() {
			sh.reason = reason
		}
	}
	var again []*shardGroup
	for _, g := range call.groups {
		g.repeat = g.repeat || mayHaveRun
		if !g.isWaiting() {
			again = append(again, g)
		}
	}
	r.logLostCall(reply, reason, now)
	if now.Before(r.deadline) {
		r.startGroups(again, now)
	}
}

// gatheredReply is the reply of a leaf for shards of the request.
type gatheredReply struct {
	shards []int
	reply  GatherReply
	used   bool
}

// chooseReplies chooses the replies of which the answer is made. It changes the choice
// only if that covers more shards.
func (r *activeRequest) chooseReplies() {
	sets := make([][]int, len(r.replies))
	before := 0
	for i, g := range r.replies {
		sets[i] = g.shards
		if g.used {
			before += len(g.shards)
		}
	}
	chosen, after := policy.Disjoint(sets), 0
	for _, i := range chosen {
		after += len(sets[i])
	}
	if after <= before {
		return
	}
	for i := range r.replies {
		r.replies[i].used = slices.Contains(chosen, i)
	}
	for i := range r.shards {
		r.shards[i].signature = ""
	}
	for _, g := range r.replies {
		if !g.used {
			continue
		}
		for n, i := range g.shards {
			r.shards[i].signature = g.reply.Answered[n].Signature
		}
	}
}

// startDueGroups makes the calls that are due.
func (r *activeRequest) startDueGroups(now time.Time) {
	var due []*shardGroup
	for _, g := range r.groups {
		if g.hedgeAt.IsZero() || g.hedgeAt.After(now) {
			continue
		}
		g.hedgeAt = time.Time{}
		if g.isWaiting() {
			g.repeat, g.silent = true, true
			due = append(due, g)
		}
	}
	if len(due) > 0 {
		r.startGroups(due, now)
	}
}

// nextGroupTimer returns the earlier of next and the time at which a call is due.
func (r *activeRequest) nextGroupTimer(next time.Time) time.Time {
	for _, g := range r.groups {
		if !g.hedgeAt.IsZero() {
			next = earlier(next, g.hedgeAt)
		}
	}
	return next
}

// firstReplyWithin returns when a leaf has to reply to the first request of a call: late
// enough for most of its replicas, pauses included, and early enough for another leaf to
// answer within the objective if there is no reply.
func (r *activeRequest) firstReplyWithin(leaf policy.Instance, now time.Time) time.Duration {
	expected, deviation := r.usualLeafTime(leaf)
	left := r.objectiveDeadline().Sub(now) - r.leafOverhead(leaf)
	latest := left - expected - deviation - minHedgeDelay
	usual := expected + hedgeDeviations*deviation
	return max(min(max(usual, left/2), latest), expected, minLeafReplyTime)
}
