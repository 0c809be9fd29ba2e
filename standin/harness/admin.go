package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/baobabsill/baobabsill/standin/target"
)

// AdminClient is an HTTP client of the admin endpoints of a stand-in, and of the
// object API of the platform stand-in.
type AdminClient struct {
	base   string
	client *http.Client
}

// NewAdminClient returns a client of the stand-in at an IP:port.
func NewAdminClient(address string) *AdminClient {
	return &AdminClient{base: "http://" + address, client: &http.Client{Timeout: 5 * time.Second}}
}

// Post sends body as JSON.
func (a *AdminClient) Post(ctx context.Context, path string, body any) error {
	return a.do(ctx, http.MethodPost, path, "", body, nil)
}

// Get decodes the JSON reply into out.
func (a *AdminClient) Get(ctx context.Context, path string, out any) error {
	return a.do(ctx, http.MethodGet, path, "", nil, out)
}

// Put reads the version of an object, 0 if it does not exist, and writes the
// value on condition that the version is unchanged.
func (a *AdminClient) Put(ctx context.Context, object string, value any) error {
	var current struct{ Version int64 }
	err := a.Get(ctx, "/objects/"+object, &current)
	if status := (statusError{}); errors.As(err, &status) && status.code == http.StatusNotFound {
		err = nil
	}
	if err != nil {
		return err
	}
	return a.do(ctx, http.MethodPut, "/objects/"+object, fmt.Sprint(current.Version), value, nil)
}

// statusError is a reply with another status than 200; text is its body.
type statusError struct {
	code int
	text string
}

func (e statusError) Error() string { return fmt.Sprintf("status %d: %s", e.code, e.text) }

func (a *AdminClient) do(ctx context.Context, method, path, ifMatch string, body, out any) error {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, a.base+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%s %s: %w", method, path, statusError{resp.StatusCode, string(raw)})
	case out == nil:
		return nil
	}
	return json.Unmarshal(raw, out)
}

// Counts returns the counts of all targets of all zones by target name.
func (c *Cluster) Counts(ctx context.Context) (map[string]target.Counts, error) {
	all := map[string]target.Counts{}
	for _, a := range c.Targets {
		if err := a.Get(ctx, "/admin/counts", &all); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// Runs returns the number of runs of each execute key, summed over all zones.
func (c *Cluster) Runs(ctx context.Context) (map[string]int, error) {
	sum := map[string]int{}
	for _, a := range c.Targets {
		runs := map[string]int{}
		if err := a.Get(ctx, "/admin/runs", &runs); err != nil {
			return nil, err
		}
		for key, n := range runs {
			sum[key] += n
		}
	}
	return sum, nil
}

// Change applies a change to one target of a zone, or to all of them if the
// name is "*".
func (c *Cluster) Change(ctx context.Context, zone, name string, change target.Change) error {
	return c.Targets[zone].Post(ctx, "/admin/targets/"+name, change)
}
