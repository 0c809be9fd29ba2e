package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // set if no whole answer came
	close  bool  // the connection must not be used again
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d stamp=%q parts=%q body=%dB", a.status, a.header.Get("X-Server-Stamp"), a.header.Get("X-Part-Stamps"), len(a.body))
}

// client is one kept connection of a client.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send writes a request. fields are further header lines.
func (c *client) send(method, host, path, attempt string, deadline time.Duration, fields, body string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s", method, path, host, attempt, deadline.Milliseconds(), fields)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(c.conn, b.String())
	return err
}

// receive reads an answer, for as long as the client waits.
func (c *client) receive(wait time.Duration) (a answer) {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return answer{err: err}
	}
	a.status, a.header, a.close = resp.StatusCode, resp.Header, resp.Close
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}
