package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxValueBytes   = 1 << 20
	maxWatchTimeout = 60 * time.Second
)

// Fault is the body of POST /admin/fault. Fields that are absent keep their value.
type Fault struct {
	// Down makes every call answer 503.
	Down *bool `json:"down,omitempty"`
	// SlowMS delays every call.
	SlowMS *int `json:"slow_ms,omitempty"`
	// LoseAnswers is the number of following writes whose answer is lost: they
	// take effect, but the connection breaks before the answer.
	LoseAnswers *int `json:"lose_answers,omitempty"`
	// Cut lists prefixes of source addresses; calls from these have their
	// connection broken.
	Cut *[]string `json:"cut,omitempty"`
	// ListLagMS is the age of the instance list that readers see.
	ListLagMS *int `json:"list_lag_ms,omitempty"`
	// Compact drops the history once: a watch from a revision before the current
	// one is answered 410.
	Compact bool `json:"compact,omitempty"`
}

// Calls counts the calls of the object API and of the instance list by kind.
// A waiting watch is one call. Calls that a fault refused are counted too.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

type faults struct {
	down    bool
	delay   time.Duration
	lose    int // answers to writes still to be lost
	cut     []string
	listLag time.Duration
}

// Platform is the handler of the object API, the instance list and the admin
// endpoints, over an in-memory store. It is safe for concurrent use.
type Platform struct {
	store *store
	list  instanceList
	mux   *http.ServeMux

	mu     sync.Mutex
	faults faults
	calls  Calls
}

// New returns an empty platform without faults.
func New() *Platform {
	p := &Platform{store: newStore(), mux: http.NewServeMux()}
	p.mux.HandleFunc("GET /objects/{kind}/{name...}", p.withFaults(p.get))
	p.mux.HandleFunc("PUT /objects/{kind}/{name...}", p.withFaults(p.put))
	p.mux.HandleFunc("DELETE /objects/{kind}/{name...}", p.withFaults(p.remove))
	p.mux.HandleFunc("GET /objects/{kind}", p.withFaults(p.listOrWatch))
	p.mux.HandleFunc("GET /instances", p.withFaults(p.instances))
	p.mux.HandleFunc("POST /admin/fault", p.postFault)
	p.mux.HandleFunc("POST /admin/instances", p.postInstances)
	p.mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, p.Calls())
	})
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Calls returns the counts since New.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// UpdateInstances changes the instance list; readers see the change after the lag.
func (p *Platform) UpdateInstances(u InstancesUpdate) { p.list.update(u, time.Now()) }

// SetFault changes the faults. Waiting watches are woken, so that an outage or a
// cut ends them.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	if f.Down != nil {
		p.faults.down = *f.Down
	}
	if f.SlowMS != nil {
		p.faults.delay = time.Duration(*f.SlowMS) * time.Millisecond
	}
	if f.LoseAnswers != nil {
		p.faults.lose = *f.LoseAnswers
	}
	if f.Cut != nil {
		p.faults.cut = slices.Clone(*f.Cut)
	}
	if f.ListLagMS != nil {
		p.faults.listLag = time.Duration(*f.ListLagMS) * time.Millisecond
	}
	p.mu.Unlock()
	if f.Compact {
		p.store.compact()
	}
	p.store.wakeWatches()
}

// withFaults returns a handler that counts the call and applies the faults before
// next is called.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		switch {
		case r.Method != http.MethodGet:
			p.calls.Writes++
		case r.URL.Query().Get("watch") == "1":
			p.calls.Watches++
		default:
			p.calls.Reads++
		}
		delay := p.faults.delay
		p.mu.Unlock()
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-r.Context().Done():
				return
			}
		}
		if p.refuseOnFault(w, r) {
			return
		}
		next(w, r)
	}
}

// refuseOnFault breaks the connection of a cut source. In an outage it answers 503
// and returns true.
func (p *Platform) refuseOnFault(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	down, cut := p.faults.down, p.faults.cut
	p.mu.Unlock()
	source, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		source = r.RemoteAddr
	}
	for _, prefix := range cut {
		if strings.HasPrefix(source, prefix) {
			panic(http.ErrAbortHandler)
		}
	}
	if down {
		replyError(w, http.StatusServiceUnavailable, "outage")
	}
	return down
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	o, err := p.store.get(r.PathValue("kind"), r.PathValue("name"))
	if err != nil {
		replyError(w, http.StatusNotFound, err.Error())
		return
	}
	reply(w, http.StatusOK, o)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		replyError(w, http.StatusBadRequest, "If-Match must be a version")
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		replyError(w, http.StatusRequestEntityTooLarge, "value above 1 MiB")
		return
	}
	if err != nil || !json.Valid(value) {
		replyError(w, http.StatusBadRequest, "value is not JSON")
		return
	}
	version, err := p.store.put(r.PathValue("kind"), r.PathValue("name"), value, ifVersion)
	p.replyWrite(w, version, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		replyError(w, http.StatusBadRequest, "If-Match must be a version")
		return
	}
	version, err := p.store.remove(r.PathValue("kind"), r.PathValue("name"), ifVersion)
	p.replyWrite(w, version, err)
}

func (p *Platform) replyWrite(w http.ResponseWriter, version int64, err error) {
	body := map[string]int64{"version": version}
	switch {
	case errors.Is(err, errNotFound):
		replyError(w, http.StatusNotFound, err.Error())
		return
	case errors.Is(err, errConflict):
		reply(w, http.StatusConflict, body)
		return
	}
	p.mu.Lock()
	lose := p.faults.lose > 0
	if lose {
		p.faults.lose--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, body)
}

type listReply struct {
	Revision int64    `json:"revision"`
	Items    []Object `json:"items"`
}

func (p *Platform) listOrWatch(w http.ResponseWriter, r *http.Request) {
	kinds := strings.Split(r.PathValue("kind"), ",")
	q := r.URL.Query()
	if q.Get("watch") != "1" {
		items, revision := p.store.list(kinds)
		reply(w, http.StatusOK, listReply{revision, items})
		return
	}
	since, err := strconv.ParseInt(q.Get("since"), 10, 64)
	if err != nil {
		replyError(w, http.StatusBadRequest, "since must be a revision")
		return
	}
	waitMS, err := strconv.Atoi(q.Get("timeout_ms"))
	if err != nil || waitMS < 0 {
		replyError(w, http.StatusBadRequest, "timeout_ms must be a number of milliseconds")
		return
	}
	timeout := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWatchTimeout))
	defer timeout.Stop()
	for {
		items, revision, changed, err := p.store.changesSince(kinds, since)
		if err != nil {
			replyError(w, http.StatusGone, err.Error())
			return
		}
		if len(items) > 0 {
			reply(w, http.StatusOK, listReply{revision, items})
			return
		}
		select {
		case <-changed:
			if p.refuseOnFault(w, r) {
				return
			}
		case <-timeout.C:
			reply(w, http.StatusOK, listReply{revision, items})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) instances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	lag := p.faults.listLag
	p.mu.Unlock()
	reply(w, http.StatusOK, map[string][]ListedTarget{"items": p.list.at(time.Now().Add(-lag))})
}

func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		replyError(w, http.StatusBadRequest, err.Error())
		return
	}
	p.SetFault(f)
	reply(w, http.StatusOK, struct{}{})
}

func (p *Platform) postInstances(w http.ResponseWriter, r *http.Request) {
	var u InstancesUpdate
	if err := json.NewDecoder(r.Body).Decode(&u); err != nil {
		replyError(w, http.StatusBadRequest, err.Error())
		return
	}
	p.UpdateInstances(u)
	reply(w, http.StatusOK, struct{}{})
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// This fails only if the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

func replyError(w http.ResponseWriter, code int, message string) {
	reply(w, code, map[string]string{"error": message})
}
