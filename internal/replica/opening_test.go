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
}

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
		b.Warm()
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
		b.Warm()
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
		b.Warm()
		synctest.Wait()
		p, _ := b.Acquire(time.Now(), 1, time.Time{}, 1, time.Millisecond)
		p.Send(t.Context(), Work{}, time.Millisecond)
		if p, _ = b.Acquire(time.Now(), 2, time.Time{}, 1, time.Millisecond); p != nil {
			t.Error("a request is sent though the replica takes no connection")
		}
	})
}
