package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeEra is what the store names in all its answers. It never comes back from a copy.
const storeEra = "1"

// maxWait is the longest wait of a watch.
const maxWait = 30 * time.Second

type meta struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	kind      string
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
}

// store is a stand-in for the platform's store: objects by kind and name, conditional
// writes and watches.
type store struct {
	addr string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go http.Serve(ln, s) //nolint:errcheck // ends with the process
	return s, nil
}

// put writes an object as the operator or a replica does.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, raw)
}

func (s *store) set(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{Meta: meta{name, s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.note(event{kind: kind, Object: o})
	return o
}

func (s *store) note(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[kind])
}

// drop removes an object as the platform does when a replica has left.
func (s *store) drop(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unset(kind, name)
}

func (s *store) unset(kind, name string) (o object, found bool) {
	if o, found = s.objects[kind][name]; found {
		delete(s.objects[kind], name)
		s.revision++
		o.Meta.Revision = s.revision
		s.note(event{kind: kind, Object: o, Tombstone: true})
	}
	return o, found
}

// ServeHTTP serves /v1/objects/KIND and /v1/objects/KIND/NAME.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind, name := path[0], ""
	if len(path) > 1 {
		name = path[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			answer(w, http.StatusNotFound, map[string]string{"error": "not found"})
			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodPost:
		s.create(w, r, kind)
	case r.Method == http.MethodDelete:
		s.remove(w, kind, name)
	default:
		answer(w, http.StatusBadRequest, map[string]string{"error": "not supported here"})
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", storeEra)
	w.WriteHeader(status)
	w.Write(raw) //nolint:errcheck // the caller may be gone
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "current-rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	wait := maxWait
	if ms, err := strconv.Atoi(r.URL.Query().Get("wait-ms")); err == nil {
		wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) create(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &o)
	}
	if err != nil || o.Meta.Name == "" {
		answer(w, http.StatusBadRequest, map[string]string{"error": fmt.Sprint(err)})
		return
	}
	s.mu.Lock()
	old, found := s.objects[kind][o.Meta.Name]
	if !found {
		o = s.set(kind, o.Meta.Name, o.Spec)
	}
	s.mu.Unlock()
	if found {
		answer(w, http.StatusConflict, old)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) remove(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, found := s.unset(kind, name)
	s.mu.Unlock()
	if !found {
		answer(w, http.StatusNotFound, map[string]string{"error": "not found"})
		return
	}
	answer(w, http.StatusOK, o)
}
