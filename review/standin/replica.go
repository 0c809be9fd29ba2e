package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// arrival is a request that a replica has begun to read.
type arrival struct {
	replica *replica
	conn    net.Conn
	// onConn is the number of the request on its connection, from 1 on.
	onConn  int
	request *http.Request // its body is not read yet
	attempt string
}

// replica is a stand-in for a replica. It serves one request at a time on a
// connection. behave reads the body of a request and answers it, and returns false to
// close the connection.
type replica struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	behave                     func(*arrival) bool

	mu   sync.Mutex
	runs map[string]int // by attempt
}

// linkOptions bounds what a connection to the replica may hold unread, as a link with
// small windows does.
type linkOptions struct {
	segmentBytes, receiveBytes int
}

func startReplica(ip, id, service, zone string, slots int, o linkOptions, behave func(*arrival) bool) (*replica, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			if o.segmentBytes > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, o.segmentBytes)
			}
			if o.receiveBytes > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, o.receiveBytes)
			}
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, zone: zone, address: ln.Addr().String(), slots: slots,
		born: time.Now().UnixMilli(), behave: behave, runs: map[string]int{},
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// spec is the replica's entry in the store.
func (r *replica) spec(sequence int) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "warmup-left-ms": 0, "sequence": sequence, "born": r.born,
	}
}

func (r *replica) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 4096)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		a := &arrival{replica: r, conn: c, onConn: n, request: req, attempt: req.Header.Get("X-Attempt-Id")}
		if want := req.Header.Get("X-Target-Instance"); want != "" && want != r.id {
			_, _ = io.Copy(io.Discard, req.Body)
			a.reply(http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\n", "")
			continue
		}
		if !r.behave(a) {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // what behave has not read
	}
}

// run counts a run of the request and returns how often the replica has run it.
func (a *arrival) run() int {
	a.replica.mu.Lock()
	defer a.replica.mu.Unlock()
	a.replica.runs[a.attempt]++
	return a.replica.runs[a.attempt]
}

func (r *replica) runsOf(attempt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt]
}

// reply writes an answer. fields are further header lines.
func (a *arrival) reply(status int, fields, body string) bool {
	_, err := io.WriteString(a.conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"+
		"X-Attempt-Id: "+a.attempt+"\r\n"+fields+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

// answer writes an answer of a request that has run, with the replica's signature.
func (a *arrival) answer(status int, body string) bool {
	return a.reply(status, fmt.Sprintf("X-Server-Stamp: %s.%s\r\n", a.replica.id, a.attempt), body)
}

// reset makes the next close of the connection a reset.
func (a *arrival) reset() { _ = a.conn.(*net.TCPConn).SetLinger(0) }
