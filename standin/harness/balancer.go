package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/standin/target"
)

// Reply is the decoded reply to a caller. It has the fields of searches,
// execute requests and issued keys together.
type Reply struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Snapshot  string `json:"snapshot"`
	Coverage  struct {
		Answered int             `json:"answered"`
		Total    int             `json:"total"`
		Missing  json.RawMessage `json:"missing"`
	} `json:"coverage"`
	Items  []target.Item   `json:"items"`
	Result json.RawMessage `json:"result"`
}

// Outcomes that Balancer sets itself; baobabsill never sends them.
const (
	OutcomeBroken     = "broken"      // the connection failed, or the reply is unreadable
	OutcomeNoInstance = "no-instance" // the balancer had no ready instance
)

// Balancer stands in for the platform's load balancer: it sends requests to the
// ready instances in turn, and adds the one-way client delay before and after
// each of them. It is safe for concurrent use.
type Balancer struct {
	instances []Instance
	delay     time.Duration
	client    *http.Client
	next      atomic.Uint64

	mu    sync.RWMutex
	ready []Instance
}

// NewBalancer returns a balancer that knows no ready instance until Run or
// Refresh has checked them.
func NewBalancer(instances []Instance, clientDelay time.Duration) *Balancer {
	return &Balancer{
		instances: instances, delay: clientDelay,
		client: &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{
			MaxIdleConnsPerHost: 256, DisableCompression: true}},
	}
}

// Run checks the readiness of all instances every 200 ms until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b.Refresh(ctx)
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// Refresh checks the readiness of all instances once.
func (b *Balancer) Refresh(ctx context.Context) {
	states := make([]bool, len(b.instances))
	var wg sync.WaitGroup
	for i, instance := range b.instances {
		wg.Go(func() { states[i] = IsReady(ctx, instance) })
	}
	wg.Wait()
	var ready []Instance
	for i, ok := range states {
		if ok {
			ready = append(ready, b.instances[i])
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

// Pick returns the next ready instance.
func (b *Balancer) Pick() (Instance, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if len(b.ready) == 0 {
		return Instance{}, ErrNoInstance
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))], nil
}

// Search sends a search through the next ready instance.
func (b *Balancer) Search(ctx context.Context, search, query string, deadline time.Duration) Reply {
	return b.sendToReady(ctx, "/v1/search", map[string]any{
		"search": search, "query": map[string]string{"q": query}, "deadline_ms": deadline.Milliseconds()})
}

// Execute sends a non-idempotent request through the next ready instance. The
// inner body repeats the key, because the target stand-in reads it there.
func (b *Balancer) Execute(ctx context.Context, operation, key string, deadline time.Duration) Reply {
	return b.sendToReady(ctx, "/v1/execute", executeBody(operation, key, deadline))
}

// ExecuteAt sends a non-idempotent request through the given instance, without
// the client delay.
func (b *Balancer) ExecuteAt(ctx context.Context, i Instance, operation, key string, deadline time.Duration) Reply {
	r, _ := b.send(ctx, i, "/v1/execute", executeBody(operation, key, deadline))
	return r
}

func executeBody(operation, key string, deadline time.Duration) map[string]any {
	return map[string]any{"operation": operation, "key": key,
		"body": map[string]string{"key": key}, "deadline_ms": deadline.Milliseconds()}
}

// IssueKey requests a key for Execute through the next ready instance.
func (b *Balancer) IssueKey(ctx context.Context) (string, error) {
	r := b.sendToReady(ctx, "/v1/keys", struct{}{})
	if r.Key == "" {
		return "", fmt.Errorf("no key: %s %s %s", r.Outcome, r.Reason, r.Message)
	}
	return r.Key, nil
}

// sendToReady sends a request to the next ready instance. It tries another one
// only if no connection could be opened, so that it never sends a request twice.
func (b *Balancer) sendToReady(ctx context.Context, path string, body any) Reply {
	time.Sleep(b.delay)
	defer time.Sleep(b.delay)
	var r Reply
	for range len(b.instances) {
		i, err := b.Pick()
		if err != nil {
			return Reply{Outcome: OutcomeNoInstance}
		}
		var sent bool
		if r, sent = b.send(ctx, i, path, body); sent {
			return r
		}
	}
	return r
}

// send reports false if no connection could be opened. Otherwise the instance
// may have read the request.
func (b *Balancer) send(ctx context.Context, i Instance, path string, body any) (Reply, bool) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // bodies hold only strings and numbers, which always encode
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.CallerAddress+path, bytes.NewReader(raw))
	if err != nil {
		return Reply{Outcome: OutcomeBroken, Message: err.Error()}, true
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := b.client.Do(req)
	if err != nil {
		op := new(net.OpError)
		dialFailed := errors.As(err, &op) && op.Op == "dial"
		return Reply{Outcome: OutcomeBroken, Message: err.Error()}, !dialFailed
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(resp.Body)
	var r Reply
	if err == nil {
		err = json.Unmarshal(raw, &r)
	}
	if err != nil {
		return Reply{Outcome: OutcomeBroken, Message: fmt.Sprintf("status %d: %v", resp.StatusCode, err)}, true
	}
	return r, true
}
