// Package exchangetest serves scripted HTTP exchanges to tests.
package exchangetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Serve reads one request after the other, with its body, from a connection and
// hands each to handle, until handle returns false or the peer leaves. It closes
// the connection.
func Serve(c net.Conn, handle func(*http.Request) bool) {
	defer c.Close() //nolint:errcheck // the peer sees the close either way
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // a body that ends early fails the next read
		if !handle(r) {
			return
		}
	}
}
