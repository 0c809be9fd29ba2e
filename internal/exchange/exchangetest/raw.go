package exchangetest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Listen accepts connections on loopback until the test ends, and calls accept with each
// and its number, counted from 1.
func Listen(t testing.TB, accept func(n int, c net.Conn)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() }) //nolint:errcheck // a second close has no effect
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accept(n, c)
		}
	}()
	return ln
}

// AnswerRaw answers the request of w with bytes and closes its connection.
func AnswerRaw(w http.ResponseWriter, answer string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(fmt.Sprintf("exchangetest: %v", err))
	}
	defer conn.Close() //nolint:errcheck // the peer sees the close either way
	_, _ = io.WriteString(conn, answer)
}

// WriteWithoutEnd writes start and then repeated, again and again, until the peer closes
// the connection. It allocates nothing while it repeats: its garbage is not that of the
// exchange.
func WriteWithoutEnd(c net.Conn, start string, repeated []byte) {
	_, err := io.WriteString(c, start)
	for err == nil {
		_, err = c.Write(repeated)
	}
}
