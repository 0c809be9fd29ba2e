package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// crowded is a replica that has room for a number of connections.
type crowded struct {
	scripted
	room, opened int
	connected    bool
}

func (c *crowded) Connected() bool { return c.connected }

func (c *crowded) Open(context.Context) bool {
	c.opened++
	if c.room == 0 {
		return false
	}
	c.room--
	return true
}

// take acquires permits until there is none, and waits for what is being opened.
func take(b *Backend) (permits int) {
	for {
		synctest.Wait()
		if p, _ := b.Acquire(time.Now(), uint64(permits), time.Time{}, 1, time.Millisecond); p == nil {
			synctest.Wait()
			if p, _ = b.Acquire(time.Now(), uint64(permits), time.Time{}, 1, time.Millisecond); p == nil {
				return permits
			}
		}
		permits++
	}
}

// Guards replicas against more connections than this daemon's share, and this
// daemon against a replica that it could use.
func TestConnectionsGrowToTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &crowded{room: 10}
		b := poolOf(c).Backend(listed, Connections{Open: 3, Idle: 2})
		b.Warm(time.Now())
		if n := take(b); n != 3 || c.opened != 3 {
			t.Errorf("%d connections in use, %d opened, want 3", n, c.opened)
		}
	})
}

// Guards requests against connections that a replica resets because it still
// holds those of an earlier process, and against too many attempts.
func TestConnectionsAreUsedOnceKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &crowded{room: 1}
		b := poolOf(c).Backend(listed, Connections{Open: 3, Idle: 2})
		b.Warm(time.Now())
		if n := take(b); n != 1 {
			t.Fatalf("%d connections in use, want the one that was kept", n)
		}
		for range 1000 {
			take(b)
			time.Sleep(10 * time.Millisecond)
		}
		if c.opened > 10 {
			t.Errorf("%d connections tried in 10 s", c.opened)
		}
		c.room = 10
		time.Sleep(maxOpeningPause)
		if n := take(b); n != 2 {
			t.Errorf("%d connections more once there is room, want 2", n)
		}
	})
}

// Guards requests against a replica that resets their new connections.
func TestResetTakesAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &crowded{scripted: scripted{results: []Result{{Kind: Lost, Reset: true}}}, room: 1}
		b := poolOf(c).Backend(listed, two)
		b.Warm(time.Now())
		synctest.Wait()
		p, _ := b.Acquire(time.Now(), 1, time.Time{}, 1, time.Millisecond)
		p.Send(t.Context(), Work{}, time.Millisecond)
		if p, _ = b.Acquire(time.Now(), 2, time.Time{}, 1, time.Millisecond); p != nil {
			t.Error("a request is sent though the replica takes no connection")
		}
	})
}

// Guards the next request against the opening of a connection in place of one
// that the replica closed while it was idle, and replicas that nobody uses any
// more against connections.
func TestClosedConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &crowded{room: 100}
		b := poolOf(c).Backend(listed, Connections{Open: 3, Idle: 2})
		warm := func() {
			b.Warm(time.Now())
			synctest.Wait()
		}
		warm()
		c.connected = true
		warm()
		if c.opened != 1 {
			t.Fatalf("%d connections opened beside one that is open", c.opened)
		}
		c.connected = false
		warm()
		if c.opened != 2 {
			t.Errorf("%d connections opened, want 2 after one was closed", c.opened)
		}
		if p, _ := b.Acquire(time.Now(), 1, time.Time{}, 1, time.Millisecond); p == nil {
			t.Error("the connection is not used")
		}
		if p, _ := b.Acquire(time.Now(), 2, time.Time{}, 1, time.Millisecond); p != nil {
			t.Error("one connection is used for two requests")
		}
		synctest.Wait()
		opened := c.opened
		time.Sleep(keepFor + time.Second)
		warm()
		if c.opened != opened {
			t.Error("a connection is opened to a replica that is not used")
		}
	})
}
