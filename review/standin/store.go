package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	kind string
	Meta meta `json:"meta"`
	Spec any  `json:"spec"`
}

type meta struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type event struct {
	Object    *object `json:"object"`
	Tombstone bool    `json:"tombstone"`
}

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]*object // by KIND/NAME
	history  []event
	changed  chan struct{}
}

func startStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), revision: 1, objects: map[string]*object{}, changed: make(chan struct{})}
	go http.Serve(ln, s) //nolint:errcheck // ends with the process
	return s, nil
}

func (s *store) put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, spec)
}

func (s *store) putLocked(kind, name string, spec any) *object {
	s.revision++
	o := &object{kind: kind, Meta: meta{name, s.revision}, Spec: spec}
	s.objects[kind+"/"+name] = o
	s.record(event{Object: o})
	return o
}

func (s *store) deleteLocked(kind, name string) {
	o := s.objects[kind+"/"+name]
	if o == nil {
		return
	}
	s.revision++
	gone := *o
	gone.Meta.Revision = s.revision
	delete(s.objects, kind+"/"+name)
	s.record(event{Object: &gone, Tombstone: true})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// count returns the number of objects of a kind.
func (s *store) count(kind string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.objects {
		if o.kind == kind {
			n++
		}
	}
	return n
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	w.Header().Set("Store-Era", "1")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, kind, name)
	case http.MethodPost:
		var o object
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if old := s.objects[kind+"/"+o.Meta.Name]; old != nil {
			writeJSON(w, http.StatusConflict, old)
			return
		}
		writeJSON(w, http.StatusOK, s.putLocked(kind, o.Meta.Name, o.Spec))
	case http.MethodPut:
		var o object
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, s.putLocked(kind, name, o.Spec))
	case http.MethodDelete:
		s.deleteLocked(kind, name)
		writeJSON(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	if name != "" {
		if o := s.objects[kind+"/"+name]; o != nil {
			writeJSON(w, http.StatusOK, o)
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
		return
	}
	query := r.URL.Query()
	if !query.Has("watch") {
		items := []*object{}
		for _, o := range s.objects {
			if o.kind == kind {
				items = append(items, o)
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "current-rev": s.revision})
		return
	}
	since, _ := strconv.ParseInt(query.Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		events := []event{}
		for _, e := range s.history {
			if e.Object.kind == kind && e.Object.Meta.Revision > since {
				events = append(events, e)
			}
		}
		if len(events) > 0 || ended {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}
