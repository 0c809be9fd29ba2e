// Package exchangetest serves scripted HTTP exchanges in tests.
package exchangetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Serve reads requests with their bodies from a connection, one after the other, and
// passes each to handle, which writes the answer. It returns when handle returns false
// or no further request can be read, and closes the connection.
func Serve(c net.Conn, handle func(*http.Request) bool) {
	defer c.Close() //nolint:errcheck // the peer sees the close either way
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // a truncated body fails the next ReadRequest
		if !handle(r) {
			return
		}
	}
}
