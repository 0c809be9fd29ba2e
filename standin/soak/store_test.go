package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabsill/baobabsill/platform/platformtest"
	"github.com/baobabsill/baobabsill/standin/harness"
)

// operator changes the configuration, and restores the store from copies.
type operator struct {
	*deployment
	storeLock *sync.Mutex // held while the store is unavailable

	mu      sync.Mutex
	version int // of the latest configuration
}

func (o *operator) putConfig() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.store.Put(platformtest.KindConfig, "main", o.config(o.version))
}

// run changes the configuration and restores the store in turn until end. After each
// restore, the operator and the replicas write again what the copy lacks.
func (o *operator) run(rng *rand.Rand, end time.Time) {
	pause := func(most time.Duration) { time.Sleep(time.Duration(rng.Int64N(int64(most)))) }
	for time.Now().Before(end) {
		c := o.store.Copy()
		pause(time.Second)
		o.putConfig()
		pause(time.Second)
		o.storeLock.Lock()
		if rng.IntN(4) > 0 { // else waiting watches go on
			o.store.SetUnavailable(true)
			pause(500 * time.Millisecond)
		}
		o.store.Restore(c)
		o.store.SetUnavailable(false)
		o.storeLock.Unlock()
		pause(500 * time.Millisecond)
		o.store.Put(platformtest.KindConfig, "main", o.config(o.version))
		o.putReplicas()
		pause(500 * time.Millisecond)
		o.putConfig()
	}
}

// instanceStatus is a part of what an instance serves at /status.
type instanceStatus struct {
	ConfigVersion int `json:"config_version"`
}

var statusClient = &http.Client{Timeout: time.Second}

func (i *instance) status() (s instanceStatus, err error) {
	resp, err := statusClient.Get("http://" + i.MetricsAddress + "/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// hasCalledLeaves reports whether an instance asks another one for a part of a query
// within recoveryTimeout. Instances that have just restarted have asked none yet, and
// counters are published at intervals.
func (d *deployment) hasCalledLeaves() bool {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, i := range d.instances {
			if i.leafCalls(d.t) > 0 {
				return true
			}
		}
	}
	return false
}

// leafCalls returns how often an instance has asked others for parts of queries since it
// started; 0 if it does not answer.
func (i *instance) leafCalls(t *testing.T) int {
	resp, err := statusClient.Get("http://" + i.MetricsAddress + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("%s: metrics: %v", i.Name, err)
	}
	_, after, found := strings.Cut(string(text), "\nbaobabsill_leaf_calls ")
	if !found {
		return 0
	}
	line, _, _ := strings.Cut(after, "\n")
	n, err := strconv.Atoi(line)
	if err != nil {
		t.Errorf("%s: leaf calls: %v", i.Name, err)
	}
	return n
}

// watchVersions reports an error when the version in force of a process goes back,
// until ctx ends.
func (d *deployment) watchVersions(ctx context.Context) {
	latest := map[*harness.Process]int{}
	for ctx.Err() == nil {
		for _, i := range d.instances {
			process := i.currentProcess()
			s, err := i.status()
			if err != nil || process != i.currentProcess() {
				continue // it is stopped, paused or cut off, or was replaced
			}
			if s.ConfigVersion < latest[process] {
				d.t.Errorf("%s: version %d in force after %d", i.Name, s.ConfigVersion, latest[process])
			}
			latest[process] = s.ConfigVersion
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// waitUntilCurrent reports an error unless all instances have the latest version in
// force and are registered within recoveryTimeout.
func (o *operator) waitUntilCurrent() {
	for end := time.Now().Add(recoveryTimeout); ; time.Sleep(50 * time.Millisecond) {
		problem := o.notCurrent()
		if problem == "" {
			return
		}
		if time.Now().After(end) {
			o.t.Errorf("%v after the faults: %s", recoveryTimeout, problem)
			return
		}
	}
}

func (o *operator) notCurrent() string {
	registered := o.store.Names(platformtest.KindInstances)
	for _, i := range o.instances {
		if s, err := i.status(); err != nil || s.ConfigVersion != o.version {
			return fmt.Sprintf("%s has version %d of %d in force (%v)", i.Name, s.ConfigVersion, o.version, err)
		}
		if !slices.Contains(registered, i.Name) {
			return fmt.Sprintf("%s is not registered: %v", i.Name, registered)
		}
	}
	return ""
}

// changeStates lets one replica after the other leave, or reject requests and ask for a
// pause, until end. One that has left starts again.
func (d *deployment) changeStates(rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		r := d.replicas[rng.IntN(len(d.replicas))]
		length := 200*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second)))
		if rng.IntN(2) == 0 {
			r.Reject(fmt.Sprintf("%.2f", rng.Float64()))
			time.Sleep(length)
			r.Reject("")
			continue
		}
		r.SetLeaving(true)
		time.Sleep(length)
		r.Restart()
		d.putReplicas()
	}
}

// limitedReplica is a replica that names a rate limit for all of a run.
type limitedReplica struct {
	*platformtest.Replica
	perSecond float64
	namedAt   time.Time
}

// limitOne makes a replica of a shard name a limit.
func (d *deployment) limitOne(rng *rand.Rand) *limitedReplica {
	shards := slices.DeleteFunc(slices.Clone(d.replicas), func(r *platformtest.Replica) bool { return r.Service == "s" })
	l := &limitedReplica{Replica: shards[rng.IntN(len(shards))], perSecond: 1 + 7*rng.Float64(), namedAt: time.Now()}
	l.NameRateLimit(fmt.Sprintf("%.1f", l.perSecond))
	return l
}

const (
	// The bound on requests to a replica that names a limit, over all instances that
	// have had an answer that names it.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	noticeTime  = 500 * time.Millisecond // after the first such answer
)

// check reports an error if the replica got more requests in any limitWindow than its
// limit allows. sentTo has, by attempt, the process that was sent it. It does not
// count requests of a process before it can know of the limit.
func (l *limitedReplica) check(t *testing.T, sentTo map[string]*harness.Process) {
	told := map[*harness.Process]time.Time{}
	var counted []time.Time
	for _, a := range l.Arrivals() {
		process := sentTo[a.Attempt]
		if since, known := told[process]; known && a.At.Sub(since) > noticeTime+callerTimeout {
			counted = append(counted, a.At)
		} else if !known && a.At.After(l.namedAt) {
			told[process] = a.At
		}
	}
	allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
	first := 0
	for n, at := range counted {
		for at.Sub(counted[first]) > limitWindow {
			first++
		}
		if got := n - first + 1; at.After(l.namedAt.Add(contact)) && float64(got) > allowed {
			t.Errorf("%s: %d requests in %v, its limit of %.1f a second allows %.0f", l.ID, got, limitWindow, l.perSecond, allowed)
			return
		}
	}
	t.Logf("%s: limit %.1f/s, %d requests of instances that knew it", l.ID, l.perSecond, len(counted))
}
