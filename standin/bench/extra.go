package bench

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/standin/harness"
)

// Metrics reads the metrics of an instance: values by series.
func Metrics(ctx context.Context, client *http.Client, i harness.Instance) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.CallerAddress+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return parseMetrics(resp.Body)
}

func parseMetrics(r io.Reader) (map[string]float64, error) {
	values := map[string]float64{}
	s := bufio.NewScanner(r)
	for s.Scan() {
		line := s.Text()
		at := strings.LastIndexByte(line, ' ')
		if at < 0 || line[0] == '#' {
			continue
		}
		if v, err := strconv.ParseFloat(line[at+1:], 64); err == nil {
			values[line[:at]] = v
		}
	}
	return values, s.Err()
}

// GatewayCounters returns counters of the gateway, summed over all instances:
// sub-requests by kind, and hedge_wins and budget_refusals by name.
func GatewayCounters(ctx context.Context, instances []harness.Instance) (map[string]float64, error) {
	const prefix = "baobabsill_gateway_"
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	sum := map[string]float64{}
	for _, i := range instances {
		m, err := Metrics(ctx, client, i)
		if err != nil {
			return nil, err
		}
		for _, kind := range []string{"first", "hedge", "retry", "reroute"} {
			sum[kind] += m[prefix+`sub_requests{kind="`+kind+`"}`]
		}
		for _, name := range []string{"hedge_wins", "budget_refusals"} {
			sum[name] += m[prefix+name]
		}
	}
	return sum, nil
}

// RepeatWatch samples how many first attempts and how many repeats (hedges and
// retries) each instance has sent for its callers. Instances publish these counters
// once a second.
type RepeatWatch struct {
	instances []harness.Instance
	client    *http.Client

	mu          sync.Mutex
	perInstance [][]Sample
	total       []Sample
}

// NewRepeatWatch returns a watch without samples; Run takes them.
func NewRepeatWatch(instances []harness.Instance) *RepeatWatch {
	return &RepeatWatch{instances: instances, client: &http.Client{Timeout: 2 * time.Second},
		perInstance: make([][]Sample, len(instances))}
}

// Run samples every 500 ms until the context ends.
func (w *RepeatWatch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.Sample(ctx)
		select {
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// Sample takes one sample of all instances. If one of them does not answer, it
// discards the sample, since the sum would be wrong.
func (w *RepeatWatch) Sample(ctx context.Context) {
	got := make([]Sample, len(w.instances))
	ok := make([]bool, len(w.instances))
	var wg sync.WaitGroup
	for i, instance := range w.instances {
		wg.Go(func() {
			m, err := Metrics(ctx, w.client, instance)
			sub := func(kind string) int64 { return int64(m[`baobabsill_gateway_sub_requests{kind="`+kind+`"}`]) }
			got[i], ok[i] = Sample{sub("first"), sub("hedge") + sub("retry")}, err == nil
		})
	}
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum Sample
	for i := range got {
		if !ok[i] {
			return
		}
		sum.FirstAttempts += got[i].FirstAttempts
		sum.Repeats += got[i].Repeats
	}
	for i := range got {
		w.perInstance[i] = append(w.perInstance[i], got[i])
	}
	w.total = append(w.total, sum)
}

// WorstWindows returns the worst window of a single instance, and that of the sum
// over all instances. size is in first attempts, as in WorstWindow.
func (w *RepeatWatch) WorstWindows(size int64) (single, total Window) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, samples := range w.perInstance {
		if x := WorstWindow(samples, size); x.Share() >= single.Share() {
			single = x
		}
	}
	return single, WorstWindow(w.total, size)
}
