package listener

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/baobabsill/baobabsill/internal/admission"
)

// lateConn is a connection whose Read has received data but returns only once release
// is closed, as if its goroutine were not scheduled in between.
type lateConn struct {
	net.Conn
	reading, release chan struct{}
	closed           chan struct{}
}

func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	close(c.reading)
	<-c.release
	return n, err
}

func (c *lateConn) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

// TestDrainKeepsRequestThatWasJustRead guards against a Drain that closes a
// connection after a request was read from it and before it is marked busy: the
// request was executed, but its answer could not be sent.
func TestDrainKeepsRequestThatWasJustRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	budget := admission.NewBudget("test", admission.Limits{Conns: 1, Bytes: 1})
	l := New(admission.NewListener(&log.Logger{}, ln, budget, 1), Options{ReadTimeout: time.Minute})
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := accepted.(*Conn)
	late := &lateConn{Conn: conn.Conn.Conn, reading: make(chan struct{}), release: make(chan struct{}), closed: make(chan struct{})}
	conn.Conn.Conn = late
	if _, err := io.WriteString(client, "GET / HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 64))
		read <- err
	}()
	<-late.reading

	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(ctx) }()
	time.Sleep(5 * drainInterval)
	select {
	case <-late.closed:
		t.Fatal("the connection was closed with a request that had been read")
	default:
	}
	close(late.release)
	if err := <-read; err != nil {
		t.Fatalf("read: %v", err)
	}
	if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); err != nil {
		t.Fatalf("answer: %v", err)
	}
	conn.Close()
	if err := <-drained; err != nil {
		t.Fatalf("drain: %v", err)
	}
}
