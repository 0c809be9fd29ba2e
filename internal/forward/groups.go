package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/baobabsill/baobabsill/internal/policy"
	"github.com/baobabsill/baobabsill/internal/replica"
)

const (
	// maxLeavesAsked bounds the leaves that are asked in one zone.
	maxLeavesAsked = 2
	// maxGroupCalls bounds the calls for one group, those to a leaf that is asked again
	// included.
	maxGroupCalls = 8
)

// shardGroup is a group of shards of a query for which members of a bucket in a zone are
// asked. Only the goroutine of its activeRequest changes it.
type shardGroup struct {
	r      *activeRequest
	shards []int // indexes in the request
	leaves []policy.Instance
	zones  []string // in which leaves were asked for the shards, this group's last
	asked  []string // names of the leaves that were asked
	calls  int
	next   policy.Instance
	// repeat is set once a leaf may have sent the query to replicas.
	repeat  bool
	hedgeAt time.Time // zero if no hedge is scheduled
}

// leafCall is a call to a leaf for the open shards of one or more groups.
type leafCall struct {
	leaf    policy.Instance
	groups  []*shardGroup
	shards  []int // indexes in the request
	started time.Time
	reply   GatherReply
	err     error
}

func newShardGroup(r *activeRequest, g plannedGroup) *shardGroup {
	return &shardGroup{r: r, shards: g.shards, leaves: g.leaves, zones: []string{g.zone}}
}

// open returns the shards of the group without a reply.
func (g *shardGroup) open() (list []int) {
	for _, i := range g.shards {
		if sh := &g.r.shards[i]; !sh.answered() && !sh.closed {
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
	if len(g.asked) >= maxLeavesAsked || g.calls >= maxGroupCalls {
		return false
	}
	book := g.r.f.leafBook
	for _, leaf := range g.leaves {
		if !slices.Contains(g.asked, leaf.Name) && !book.ejected(leaf.Name, now) {
			g.next = leaf
			return true
		}
	}
	return false
}

// startGroups makes the next call for each of the groups. A group whose zone has no leaf
// left is divided into groups in other zones, see moveGroup.
func (r *activeRequest) startGroups(groups []*shardGroup, now time.Time) {
	var ready []*shardGroup
	for pending := slices.Clone(groups); len(pending) > 0; {
		g := pending[0]
		pending = pending[1:]
		g.hedgeAt = time.Time{}
		switch {
		case len(g.open()) == 0:
		case g.chooseLeaf(now):
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
// asked for them. Where there is none, an ejected leaf of the group is asked, or the
// shards are closed unless a call for them is in flight.
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
	if len(g.open()) == 0 || g.isWaiting() {
		return moved
	}
	for _, leaf := range g.leaves {
		if !slices.Contains(g.asked, leaf.Name) && g.calls < maxGroupCalls {
			g.next = leaf
			r.callLeaf([]*shardGroup{g}, now)
			return moved
		}
	}
	g.close("no leaf")
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

// callLeaf calls the next leaf of some groups. The end of the call arrives on r.calls.
func (r *activeRequest) callLeaf(groups []*shardGroup, now time.Time) {
	call := &leafCall{leaf: groups[0].next, groups: groups, started: now}
	repeat := false
	for _, g := range groups {
		call.shards = append(call.shards, g.open()...)
		g.asked = append(g.asked, call.leaf.Name)
		g.calls++
		repeat = repeat || g.repeat
	}
	for _, i := range call.shards {
		repeat = repeat || r.shards[i].leafCalls > 0
		r.shards[i].leafCalls++
	}
	r.inFlight++
	r.leafCalls++
	names := make([]string, len(call.shards))
	for n, i := range call.shards {
		names[n] = r.shards[i].service
	}
	expected, deviation := r.usualLeafTime(call.leaf)
	r.scheduleLeafHedge(groups, expected, deviation, now)
	overhead := r.leafOverhead(call.leaf)
	req := &GatherRequest{
		Query: r.req, From: r.f.options.Load().Shares.Self, Route: scatterRoute(r.route, names), Repeat: repeat,
		MayMiss:      len(r.shards) - r.required,
		AnswerWithin: max(r.objectiveDeadline().Sub(now)-overhead, 0), ObjectiveWithin: max(r.objective.Sub(now)-overhead, 0),
		LateWithin: max(r.lateAnswerDeadline().Sub(now)-overhead, 0), Within: r.deadline.Sub(now),
		Evacuated: r.f.store.Load().Evacuated(),
	}
	r.f.leafBook.start(call.leaf.Name, now)
	r.f.metrics.leafCalls.Inc(1)
	if repeat {
		r.f.metrics.leafRepeats.Inc(1)
	}
	go func() {
		call.reply, call.err = r.f.leaves.Gather(r.sendCtx, call.leaf.Name, req)
		if call.err == nil {
			if err := call.reply.validate(len(names), r.route.TopK); err != nil {
				r.f.metrics.leafRepliesUnusable.Inc(1)
				call.err = err
			}
		}
		r.f.leafBook.finish(call, r.sendCtx.Err() != nil, time.Now())
		if call.err == nil {
			r.recordLeafTimes(call)
		}
		select {
		case r.calls <- call:
		case <-r.ended:
		}
	}()
}

// handleCall updates the groups of a call that has ended.
func (r *activeRequest) handleCall(call *leafCall, now time.Time) {
	r.inFlight--
	for _, i := range call.shards {
		r.shards[i].leafCalls--
	}
	if call.err != nil {
		r.handleLostCall(call, now)
		return
	}
	set := make([]int, 0, len(call.reply.Answered))
	for _, a := range call.reply.Answered {
		set = append(set, call.shards[a.Shard])
	}
	r.replies = append(r.replies, gatheredReply{shards: set, reply: call.reply})
	r.chooseReplies()
	for _, m := range call.reply.Missing {
		sh := &r.shards[call.shards[m.Shard]]
		sh.mayHaveRun = sh.mayHaveRun || m.MayHaveRun
		if sh.answered() {
			continue
		}
		sh.reason = m.Reason
		// Another call in flight may still bring what this leaf could not get.
		sh.closed = !m.Pending && sh.leafCalls == 0
	}
	var again []*shardGroup
	for _, g := range call.groups {
		g.repeat = true
		if len(g.open()) > 0 && !g.isWaiting() {
			// The leaf is asked again for what it was still waiting for.
			g.asked = slices.DeleteFunc(g.asked, func(name string) bool { return name == call.leaf.Name })
			again = append(again, g)
		}
	}
	if r.needsMore(now) {
		r.startGroups(again, now)
		return
	}
	for _, g := range again {
		g.close("late")
	}
}

// handleLostCall asks the next leaves after a call without a reply.
func (r *activeRequest) handleLostCall(call *leafCall, now time.Time) {
	mayHaveRun := !errors.Is(call.err, ErrNotGathered)
	reason := "leaf refused"
	if mayHaveRun {
		reason = "leaf lost"
	}
	var again []*shardGroup
	for _, g := range call.groups {
		g.repeat = g.repeat || mayHaveRun
		for _, i := range g.open() {
			sh := &r.shards[i]
			sh.mayHaveRun = sh.mayHaveRun || mayHaveRun
			sh.reason = reason
		}
		if !g.isWaiting() {
			again = append(again, g)
		}
	}
	r.logLostCall(call, reason, now)
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

// needsMore reports whether an answer needs, or may still wait for, more shards.
func (r *activeRequest) needsMore(now time.Time) bool {
	answered := 0
	for i := range r.shards {
		if r.shards[i].answered() {
			answered++
		}
	}
	return answered < r.required || now.Before(r.objectiveDeadline())
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
			g.repeat = true
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

// scheduleLeafHedge sets when another leaf is asked for groups whose leaf was just called:
// when the call is overdue, but early enough for the other one to meet the objective.
func (r *activeRequest) scheduleLeafHedge(groups []*shardGroup, expected, deviation time.Duration, now time.Time) {
	delay := max(expected+hedgeDeviations*deviation, expected*3/2, minHedgeDelay)
	latest := r.objectiveDeadline().Sub(now) - expected - deviation
	delay = min(delay, max(latest, expected+deviation, minHedgeDelay))
	for _, g := range groups {
		g.hedgeAt = now.Add(delay)
	}
}

// leafClass is the class of the times of calls to leaves in a zone.
func (r *activeRequest) leafClass(leaf policy.Instance) replica.LatencyClass {
	return replica.LatencyClass{Route: "gather " + r.route.Name, Zone: leaf.Zone}
}

// leafOverheadClass is the class of the parts of these times that are not the leaf's.
func leafOverheadClass(leaf policy.Instance) replica.LatencyClass {
	return replica.LatencyClass{Route: "gather overhead", Zone: leaf.Zone}
}

// usualLeafTime returns the usual time of a call to a leaf and its mean deviation.
func (r *activeRequest) usualLeafTime(leaf policy.Instance) (mean, deviation time.Duration) {
	mean, deviation, measured := r.f.pool.Latencies.Usual(r.leafClass(leaf))
	if !measured {
		mean = r.assumedLeafTime(leaf)
		deviation = mean / 2
	}
	return mean, deviation
}

// leafOverhead returns by how much earlier than needed a leaf has to answer.
func (r *activeRequest) leafOverhead(leaf policy.Instance) time.Duration {
	mean, deviation, measured := r.f.pool.Latencies.Usual(leafOverheadClass(leaf))
	if !measured {
		return r.assumedLeafTime(leaf)
	}
	return mean + 2*deviation
}

func (r *activeRequest) assumedLeafTime(leaf policy.Instance) time.Duration {
	distance := r.f.options.Load().Location.distance(leaf.Zone)
	return time.Duration(assumedLatencyShare[distance] * float64(r.route.Objective))
}

func (r *activeRequest) recordLeafTimes(call *leafCall) {
	took := time.Since(call.started)
	r.f.pool.Latencies.Record(r.leafClass(call.leaf), took)
	r.f.pool.Latencies.Record(leafOverheadClass(call.leaf), max(took-call.reply.Took, 0))
}

// prepareInterval is how long after the last call to a leaf its connection is used again.
// It is shorter than the time after which idle connections are closed.
const prepareInterval = 20 * time.Second

// preparedLeaves is the number of leaves of a group to which connections are kept.
const preparedLeaves = 2

// prepareTimeout bounds the call that opens a connection to a leaf.
const prepareTimeout = 2 * time.Second

// PrepareLeaves opens connections to the leaves that this instance will ask first, and
// keeps them open, so that queries do not wait for connection set-up.
func (f *Forwarder) PrepareLeaves(ctx context.Context) {
	config := f.store.Load().Config
	if config == nil || f.leaves == nil {
		return
	}
	view, now := f.currentView(), time.Now()
	for _, route := range config.RouteByService() {
		if !route.IsScatter() {
			continue
		}
		for _, g := range view.plan(route).groups {
			for _, leaf := range g.leaves[:min(preparedLeaves, len(g.leaves))] {
				if f.leafBook.startPreparing(leaf.Name, now, prepareInterval) {
					go f.prepareLeaf(ctx, leaf.Name)
				}
			}
		}
	}
}

func (f *Forwarder) prepareLeaf(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	reply, err := f.leaves.Gather(ctx, name, &GatherRequest{Query: &Request{}, From: f.options.Load().Shares.Self, Route: scatterRoute(noRoute, nil)})
	f.leafBook.finishPreparing(name, reply.Leaving, err, time.Now())
}
