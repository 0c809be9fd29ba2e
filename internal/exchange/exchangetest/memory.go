package exchangetest

import (
	"runtime"
	"testing"
	"time"
)

// MaxEndlessMemory bounds what answers without end may take, in bytes. It is a third of the
// memory of the smallest machine; requests in flight and everything else share the rest.
const MaxEndlessMemory = 184 << 20 / 3

// WatchMemory samples the heap until the returned function is called, which returns by
// how much it grew at most, in bytes.
func WatchMemory(t testing.TB) (stop func() uint64) {
	t.Helper()
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	end, ended := make(chan struct{}), make(chan uint64)
	go func() {
		var most uint64
		for {
			runtime.ReadMemStats(&now)
			most = max(most, now.HeapAlloc)
			select {
			case <-end:
				ended <- most - min(before.HeapAlloc, most)
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(end)
		return <-ended
	}
}
