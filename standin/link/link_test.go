package link

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a delay inside a zone, a missing delay between zones (20 ms each
// way), and a cut that lets bytes through, or loses them instead of delivering
// them once it ends.
func TestDelayAndCut(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.2.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	r := New(Spec{Prefixes: map[string]string{"127.0.1.": "one", "127.0.2.": "two"}, DelayMS: 20,
		Routes: []Route{{"127.0.2.1:0", echo.Addr().String(), "two"}}})
	if err := r.Start(); err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	dial := func(source string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
		c, err := d.DialContext(context.Background(), "tcp", r.Addresses()[0])
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	roundTrip := func(c net.Conn) time.Duration {
		begin := time.Now()
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		return time.Since(begin)
	}
	near, far := dial("127.0.2.9"), dial("127.0.1.9")
	roundTrip(near)
	if d := roundTrip(near); d > 20*time.Millisecond {
		t.Errorf("inside the zone: %v", d)
	}
	if d := roundTrip(far); d < 40*time.Millisecond {
		t.Errorf("between zones: %v", d)
	}
	cut := true
	if err := r.Apply(Change{A: "two", B: "one", Cut: &cut}); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(150*time.Millisecond, func() {
		stillCut := false
		_ = r.Apply(Change{A: "one", B: "two", Cut: &stillCut})
	})
	if d := roundTrip(far); d < 140*time.Millisecond {
		t.Errorf("a cut let bytes through after %v", d)
	}
}
