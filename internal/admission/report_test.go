package admission

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// Guards against clients that give way without a line in the log or a count in the
// metrics, and against a line for each of them.
func TestReport(t *testing.T) {
	var out bytes.Buffer
	logger := &log.Logger{Writer: log.IOWriter{Writer: &out}}
	scope := tally.NewTestScope("", nil)
	c := newClients(Limits{Conns: 4, Bytes: 100})
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		c.admit(name, 10)
	}
	counts := c.budget.Counts()
	c.budget.report(logger, scope, counts)
	c.budget.report(logger, scope, c.budget.Counts().since(counts))
	want := `"event":"client limit","listener":"test","evicted":2,"refused":0,"connections":4,"bytes":40`
	if got := out.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, want) {
		t.Errorf("log: %s", got)
	}
	snapshot := scope.Snapshot()
	if got := snapshot.Counters()["clients_evicted+listener=test"].Value(); got != 2 {
		t.Errorf("%d clients are counted", got)
	}
	if got := snapshot.Gauges()["client_bytes+listener=test"].Value(); got != 40 {
		t.Errorf("%v bytes are shown", got)
	}
}
