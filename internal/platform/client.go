// Package platform is the client of the platform's object API and of its list
// of target instances.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/baobabsill/baobabsill/internal/exchange"
)

// maxReplyBytes limits the size of a reply; a list may hold many values of up to
// 1 MB.
const maxReplyBytes = 64 << 20

// Object is one versioned object. All objects share one sequence of versions, so
// a later change of any object has a higher version.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
	Deleted bool            `json:"deleted,omitempty"`
}

// TargetItem is one entry of the platform's list of target instances, which lags
// behind the real state. State is "live" or "leaving".
type TargetItem struct {
	Service     string `json:"service"`
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	State       string `json:"state"`
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	source    net.IP
	http      *http.Client
	reachable atomic.Bool
}

// Option changes a setting of a Client.
type Option func(*Client)

// WithSource makes the client connect from a local IP.
func WithSource(ip net.IP) Option { return func(c *Client) { c.source = ip } }

// NewClient returns a client of the platform at address (host:port or URL).
// timeout limits each call; for a watch it is added to the wait for changes.
func NewClient(address string, timeout time.Duration, options ...Option) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	c := &Client{base: strings.TrimRight(address, "/"), timeout: timeout}
	for _, o := range options {
		o(c)
	}
	dialer := &net.Dialer{Timeout: timeout}
	if c.source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.source}
	}
	c.http = &http.Client{
		Transport: exchange.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// Reachable reports whether the last call got a definite answer: success or a
// status 4xx. It is false before the first call.
func (c *Client) Reachable() bool { return c.reachable.Load() }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns an object, or ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.call(ctx, http.MethodGet, objectPath(kind, name), nil, -1, 0, &o)
	return o, err
}

// Put writes an object if its current version is ifVersion (0: it must not
// exist) and returns the new version.
func (c *Client) Put(ctx context.Context, kind, name string, value json.RawMessage, ifVersion int64) (int64, error) {
	var reply struct {
		Version int64 `json:"version"`
	}
	err := c.call(ctx, http.MethodPut, objectPath(kind, name), value, ifVersion, 0, &reply)
	return reply.Version, err
}

// Delete removes an object if its current version is ifVersion.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion int64) error {
	return c.call(ctx, http.MethodDelete, objectPath(kind, name), nil, ifVersion, 0, nil)
}

type objectList struct {
	Revision int64    `json:"revision"`
	Items    []Object `json:"items"`
}

// List returns all objects of a kind, or of several kinds separated by commas,
// and the revision from which a watch continues.
func (c *Client) List(ctx context.Context, kind string) ([]Object, int64, error) {
	var l objectList
	err := c.call(ctx, http.MethodGet, "/objects/"+kindPath(kind), nil, -1, 0, &l)
	return l.Items, l.Revision, err
}

// Watch waits at most the duration wait for changes after the revision since. It
// returns the changed objects, or none if nothing changed, and the revision from
// which the next watch continues.
func (c *Client) Watch(ctx context.Context, kind string, since int64, wait time.Duration) ([]Object, int64, error) {
	path := fmt.Sprintf("/objects/%s?watch=1&since=%d&timeout_ms=%d", kindPath(kind), since, wait.Milliseconds())
	var l objectList
	err := c.call(ctx, http.MethodGet, path, nil, -1, wait, &l)
	return l.Items, l.Revision, err
}

// Instances returns the list of target instances.
func (c *Client) Instances(ctx context.Context) ([]TargetItem, error) {
	var l struct {
		Items []TargetItem `json:"items"`
	}
	err := c.call(ctx, http.MethodGet, "/instances", nil, -1, 0, &l)
	return l.Items, err
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func kindPath(kinds string) string {
	parts := strings.Split(kinds, ",")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, ",")
}

// call makes one request and decodes the body of a successful reply into reply,
// unless reply is nil. A negative ifVersion makes the request unconditional. wait
// is the time that the platform may hold the request, in addition to the timeout.
func (c *Client) call(ctx context.Context, method, path string, body []byte, ifVersion int64, wait time.Duration, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	// If no connection was obtained, the request cannot have been sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return ErrRejected.Wrap(err)
	}
	if ifVersion >= 0 {
		req.Header.Set("If-Match", strconv.FormatInt(ifVersion, 10))
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	// unreachableError marks the platform as unreachable. Its class is
	// ErrOutcomeUnknown if the call may have changed something.
	unreachableError := func(err error) error {
		c.reachable.Store(false)
		if method == http.MethodGet || !connected.Load() {
			return ErrUnavailable.Wrap(err)
		}
		return ErrOutcomeUnknown.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return unreachableError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return unreachableError(err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		if reply != nil {
			if err := json.Unmarshal(data, reply); err != nil {
				return unreachableError(err)
			}
		}
		c.reachable.Store(true)
		return nil
	case http.StatusServiceUnavailable:
		c.reachable.Store(false)
		return ErrUnavailable.New("%s %s: status 503", method, path)
	}
	c.reachable.Store(true)
	switch resp.StatusCode {
	case http.StatusNotFound:
		return ErrNotFound.New("%s %s", method, path)
	case http.StatusGone:
		return ErrRevisionGone.New("%s %s", method, path)
	case http.StatusConflict:
		var current struct {
			Version int64 `json:"version"`
		}
		if err := json.Unmarshal(data, &current); err != nil {
			return ErrConflict.Wrap(err)
		}
		return Conflict(current.Version)
	}
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return ErrRejected.New("%s %s: status %d", method, path, resp.StatusCode)
	}
	return unreachableError(fmt.Errorf("%s %s: status %d", method, path, resp.StatusCode))
}
