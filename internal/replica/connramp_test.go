package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// limitedClient is the client of a replica that accepts a limited number of
// connections.
type limitedClient struct {
	scriptedClient
	capacity, opened int
	connected        bool
}

func (c *limitedClient) Connected() bool { return c.connected }

func (c *limitedClient) OpenConnection(context.Context) bool {
	c.opened++
	if c.capacity == 0 {
		return false
	}
	c.capacity--
	return true
}

// acquireAll acquires permits until the Backend refuses one though no connection
// is being opened, and returns their number.
func acquireAll(b *Backend) (permits int) {
	for {
		synctest.Wait()
		if p, _ := b.Acquire(time.Now(), Terms{Number: uint64(permits), Expected: time.Millisecond}); p == nil {
			synctest.Wait()
			if p, _ = b.Acquire(time.Now(), Terms{Number: uint64(permits), Expected: time.Millisecond}); p == nil {
				return permits
			}
		}
		permits++
	}
}

// Guards against a limit that grows beyond this instance's share of the replica's
// connections, which overloads the replica, and against one that stops below the
// share, so that requests wait for a replica that has room.
func TestConnectionsGrowToTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &limitedClient{capacity: 10}
		b := newTestPool(c).Backend(listedReplica, ConnectionLimits{MaxOpen: 3, MaxIdle: 2})
		b.Preconnect(time.Now())
		if n := acquireAll(b); n != 3 || c.opened != 3 {
			t.Errorf("%d connections in use, %d opened, want 3", n, c.opened)
		}
	})
}

// Guards against requests on connections that the replica resets, because it has
// no room while it still holds those of an earlier process of the instance. The
// instance must use only the connections that it could establish, try others
// rarely, and use more once there is room.
func TestOnlyAcceptedConnectionsAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &limitedClient{capacity: 1}
		b := newTestPool(c).Backend(listedReplica, ConnectionLimits{MaxOpen: 3, MaxIdle: 2})
		b.Preconnect(time.Now())
		if n := acquireAll(b); n != 1 {
			t.Fatalf("%d connections in use, want the one that the replica accepted", n)
		}
		for range 1000 {
			acquireAll(b)
			time.Sleep(10 * time.Millisecond)
		}
		if c.opened > 10 {
			t.Errorf("%d attempts to connect in 10 s, want 10 at most", c.opened)
		}
		c.capacity = 10
		time.Sleep(maxConnectBackoff)
		if n := acquireAll(b); n != 2 {
			t.Errorf("%d more connections in use once the replica has room, want 2", n)
		}
	})
}

// Guards against a replica that resets the connection of a request and then gets
// the next request in the same way: the reset must lower the limit.
func TestResetLowersTheConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &limitedClient{scriptedClient: scriptedClient{results: []Result{{Outcome: Lost, Reset: true}}}, capacity: 1}
		b := newTestPool(c).Backend(listedReplica, twoConnections)
		b.Preconnect(time.Now())
		synctest.Wait()
		p, _ := b.Acquire(time.Now(), Terms{Number: 1, Expected: time.Millisecond})
		p.Send(t.Context(), Request{}, time.Millisecond)
		if p, _ = b.Acquire(time.Now(), Terms{Number: 2, Expected: time.Millisecond}); p != nil {
			t.Error("a request is sent though the replica reset the only connection")
		}
	})
}

// Replicas close idle connections. Guards against a request that then waits for a
// new one, against a replacement that counts as an additional connection and lets
// two requests share one, and against connections to replicas no longer used.
func TestClosedConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &limitedClient{capacity: 100}
		b := newTestPool(c).Backend(listedReplica, ConnectionLimits{MaxOpen: 3, MaxIdle: 2})
		connect := func() {
			b.Preconnect(time.Now())
			synctest.Wait()
		}
		connect()
		c.connected = true
		connect()
		if c.opened != 1 {
			t.Fatalf("%d connections opened, want no other beside the one that is open", c.opened)
		}
		c.connected = false
		connect()
		if c.opened != 2 {
			t.Errorf("%d connections opened, want 2 after one was closed", c.opened)
		}
		if p, _ := b.Acquire(time.Now(), Terms{Number: 1, Expected: time.Millisecond}); p == nil {
			t.Error("no request may use the established connection")
		}
		if p, _ := b.Acquire(time.Now(), Terms{Number: 2, Expected: time.Millisecond}); p != nil {
			t.Error("two requests may use the one established connection")
		}
		synctest.Wait()
		opened := c.opened
		time.Sleep(keepConnectedFor + time.Second)
		connect()
		if c.opened != opened {
			t.Error("a connection is opened to a replica without recent requests")
		}
	})
}
