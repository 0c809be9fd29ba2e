package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is how often a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

// arrival is one request as a replica has read it.
type arrival struct {
	replica string
	attempt string
	method  string
	uri     string
	host    string
	header  http.Header
	body    string
	ran     bool
}

// replicaConn is a connection to a replica. handle answers its requests in turn.
type replicaConn struct {
	net.Conn
	number int
	served int
	// again is a copy of an answer that the replica sends once more where the next
	// answer is expected.
	again []byte
}

// replica is a stand-in for a replica of a service. handle decides how it answers; the
// default is to run the request.
type replica struct {
	id, service, zone, addr string
	born                    int64
	rec                     *record
	handle                  func(r *replica, c *replicaConn, a *arrival)

	mu       sync.Mutex
	arrivals []arrival
	conns    int
}

func startReplica(rec *record, s *store, id, service, zone string, handle func(*replica, *replicaConn, *arrival)) (*replica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, zone: zone, addr: ln.Addr().String(), born: time.Now().UnixMilli(), rec: rec, handle: handle}
	go r.accept(ln)
	go r.report(s)
	return r, nil
}

// report writes the entry. It changes only when more than the sequence does.
func (r *replica) report(s *store) {
	s.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "1", "slots": 2, "state": "ready",
		"warmup-left-ms": 0, "sequence": 1, "born": r.born,
	})
}

func (r *replica) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns++
		n := r.conns
		r.mu.Unlock()
		go r.serve(&replicaConn{Conn: c, number: n})
	}
}

func (r *replica) serve(c *replicaConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id); err != nil {
				return
			}
			continue
		}
		a := &arrival{
			replica: r.id, attempt: req.Header.Get("X-Attempt-Id"), method: req.Method, uri: req.RequestURI, host: req.Host,
			header: req.Header, body: string(body),
		}
		if want := req.Header.Get("X-Target-Instance"); want != "" && want != r.id {
			r.send(c, a, 421, "", true)
			continue
		}
		if r.handle != nil {
			r.handle(r, c, a)
		} else {
			r.run(a)
			r.send(c, a, 200, "done", false)
		}
		c.served++
	}
}

// run runs the request.
func (r *replica) run(a *arrival) {
	a.ran = true
	r.note(a)
	r.rec.printf("replica %s runs %s: %s %s, %d bytes", r.id, a.attempt, a.method, a.uri, len(a.body))
}

// reject records a request that the replica does not run.
func (r *replica) reject(a *arrival) {
	r.note(a)
	r.rec.printf("replica %s rejects %s: %s %s", r.id, a.attempt, a.method, a.uri)
}

func (r *replica) note(a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, *a)
}

// format returns an answer. notRun is set if the replica has not run the request.
func (r *replica) format(a *arrival, status int, body string, notRun bool) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n", status, http.StatusText(status), a.attempt)
	if notRun {
		head += "X-Not-Executed: 1\r\n"
	} else {
		head += fmt.Sprintf("X-Server-Stamp: %s.%s\r\n", r.id, a.attempt)
	}
	return []byte(head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

func (r *replica) send(c *replicaConn, a *arrival, status int, body string, notRun bool) {
	c.Write(r.format(a, status, body, notRun)) //nolint:errcheck // the next read shows a failure
}

// seen returns the arrivals so far.
func (r *replica) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}
