package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/baobabsill/baobabsill/internal/status"
)

// ConfigWatch polls the configuration version that each instance has in force.
// It records each time that an instance falls back to an older version without a
// restart. It is safe for concurrent use.
type ConfigWatch struct {
	instances []Instance
	client    *http.Client

	mu      sync.Mutex
	highest map[string]int64 // version so far, by instance and incarnation
	inForce map[string]int64 // version at the last poll, by instance that answered it
	reverts []string
}

// NewConfigWatch returns a watch that Run keeps up to date.
func NewConfigWatch(instances []Instance) *ConfigWatch {
	return &ConfigWatch{instances: instances, client: &http.Client{Timeout: time.Second},
		highest: map[string]int64{}, inForce: map[string]int64{}}
}

// Run polls every 100 ms until the context ends.
func (w *ConfigWatch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for _, i := range w.instances {
			wg.Go(func() { w.poll(ctx, i) })
		}
		wg.Wait()
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (w *ConfigWatch) poll(ctx context.Context, i Instance) {
	d, err := Status(ctx, w.client, i)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		delete(w.inForce, i.Name)
		return
	}
	key := i.Name + " " + d.Incarnation
	if before := w.highest[key]; d.ConfigVersion < before {
		w.reverts = append(w.reverts, fmt.Sprintf("%s went from %d to %d", i.Name, before, d.ConfigVersion))
	}
	w.highest[key] = max(w.highest[key], d.ConfigVersion)
	w.inForce[i.Name] = d.ConfigVersion
}

// Reverts returns a description of each fall-back to an older version.
func (w *ConfigWatch) Reverts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.reverts...)
}

// AwaitVersion waits for at most 10 s until every instance that answers has at least
// the given version in force. It returns the time since begin.
func (w *ConfigWatch) AwaitVersion(ctx context.Context, version int64, begin time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for {
		w.mu.Lock()
		behind, known := 0, len(w.inForce)
		for _, v := range w.inForce {
			if v < version {
				behind++
			}
		}
		w.mu.Unlock()
		if known > 0 && behind == 0 {
			return time.Since(begin), nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return time.Since(begin), fmt.Errorf("configuration %d is not in force at %d of %d instances", version, behind, known)
		}
	}
}

// Status fetches the status document of an instance.
func Status(ctx context.Context, client *http.Client, i Instance) (status.Document, error) {
	var d status.Document
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.CallerAddress+"/status", nil)
	if err != nil {
		return d, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return d, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return d, fmt.Errorf("status of %s: %d", i.Name, resp.StatusCode)
	}
	return d, json.NewDecoder(resp.Body).Decode(&d)
}
