package api_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/baobabsill/baobabsill/internal/api"
)

// placeOrder places one order and looks up its outcome as long as it is unknown.
// It never sends the order with a second key, so the order runs at most once.
func placeOrder(ctx context.Context, base string, body json.RawMessage) (api.Reply, error) {
	issued, err := callAPI(ctx, http.MethodPost, base+"/v1/keys", nil)
	if err != nil {
		return api.Reply{}, err
	}
	raw, err := json.Marshal(api.ExecuteBody{Operation: "order", Key: issued.Key, Body: body})
	if err != nil {
		return api.Reply{}, err
	}
	reply, err := callAPI(ctx, http.MethodPost, base+"/v1/execute", raw)
	for i := 0; i < 5 && ctx.Err() == nil; i++ {
		switch {
		case err == nil && reply.Outcome == "refused-not-run":
			// Nothing ran, so the same key may be sent again.
			reply, err = callAPI(ctx, http.MethodPost, base+"/v1/execute", raw)
		case err != nil || reply.Outcome == "unknown":
			reply, err = callAPI(ctx, http.MethodGet, base+"/v1/outcomes/"+issued.Key, nil)
		default:
			return reply, nil
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return reply, err
}

func callAPI(ctx context.Context, method, url string, body []byte) (api.Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return api.Reply{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return api.Reply{}, err
	}
	defer resp.Body.Close()
	var reply api.Reply
	return reply, json.NewDecoder(resp.Body).Decode(&reply)
}

func Example() {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch calls++; r.URL.Path {
		case "/v1/keys":
			fmt.Fprint(w, `{"key":"k1"}`)
		case "/v1/execute":
			w.WriteHeader(http.StatusGatewayTimeout)
			fmt.Fprint(w, `{"outcome":"unknown","reason":"timeout"}`)
		default:
			fmt.Fprint(w, `{"outcome":"answered","result":{"order":7}}`)
		}
	}))
	defer http.DefaultClient.CloseIdleConnections()
	defer server.Close()
	reply, err := placeOrder(context.Background(), server.URL, json.RawMessage(`{"flags":40}`))
	fmt.Println(reply.Outcome, string(reply.Result), err, calls)
	// Output: answered {"order":7} <nil> 3
}
