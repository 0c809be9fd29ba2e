package main

import (
	"fmt"
	"io"
	"time"
)

// smuggled sends requests whose Transfer-Encoding is identity, and whose body looks like
// another request. No client sends that one.
func smuggled(d *deployment, root string, trouble bool) (bool, error) {
	r, err := startReplica(d.rec, d.store, "i-0", "workshop", "muenchen-ost", nil)
	if err != nil {
		return false, err
	}
	d.store.put("config", "main", orderConfig("/orders/"))
	if err := d.startInstances(root, 1); err != nil {
		return false, err
	}
	const requests = 10
	sent := map[string]bool{}
	for n := range requests {
		id := fmt.Sprintf("c0-%d", n)
		sent[id] = true
		body := order("/orders/cancel-all", fmt.Sprintf("forged-%d", n), "Content-Length: 0\r\n")
		fields := fmt.Sprintf("Content-Length: %d\r\n", len(body))
		if trouble {
			fields = "Transfer-Encoding: identity\r\n"
		}
		c, err := dial(d.instances[0].callers)
		if err != nil {
			return false, err
		}
		d.rec.printf("client sends %s with %q and %d bytes of body", id, fields, len(body))
		io.WriteString(c, order("/orders/note", id, fields)+body) //nolint:errcheck // the read shows a failure
		got, err := c.read("POST", 3*time.Second)
		d.rec.printf("client of %s gets %v, %v", id, got, err)
		time.Sleep(200 * time.Millisecond)
		c.Close()
	}
	time.Sleep(time.Second)
	broken := false
	for _, a := range r.seen() {
		if a.ran && !sent[a.attempt] {
			broken = true
			d.rec.printf("UNASKED: %s has run %s %s, whose id no client has sent", a.replica, a.method, a.uri+" of "+a.attempt)
		}
	}
	return broken, nil
}
