package exchange

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformedHead is the error of an exchange whose answer has a head that HTTP/1 does
// not allow. net/http accepts some of these, but neither what such an answer says nor
// where it ends can be relied on.
var ErrMalformedHead = errors.New("malformed head of an answer")

// checkHead returns an error that wraps ErrMalformedHead if the head of a final answer,
// as net/http has read it, is malformed.
func checkHead(resp *http.Response, found headFacts) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %s", ErrMalformedHead, resp.Proto)
	}
	// RFC 9112, section 6.1. net/http ignores the coding and reads to the end of the
	// connection.
	if !resp.ProtoAtLeast(1, 1) && found.coded {
		return fmt.Errorf("%w: transfer coding in %s", ErrMalformedHead, resp.Proto)
	}
	// RFC 9110, section 15. No request of this system offers to switch protocols (101),
	// and net/http passes over the other interim answers.
	if resp.StatusCode < 200 || resp.StatusCode > 599 {
		return fmt.Errorf("%w: status %03d", ErrMalformedHead, resp.StatusCode)
	}
	// RFC 9112, section 5.2, allows a proxy to discard such an answer. The line may be a
	// field of its own whose name begins with white space.
	if found.continued {
		return fmt.Errorf("%w: continuation line", ErrMalformedHead)
	}
	// RFC 9112, section 5.1. net/http rejects names with control bytes itself.
	for name := range resp.Header {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: field name %q", ErrMalformedHead, name)
		}
	}
	return nil
}

// Transport is an http.Transport that rejects malformed answers like Exchange.RoundTrip.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that uses t, and replaces the dial function of t by
// one whose connections can be tracked.
func NewTransport(t *http.Transport) Transport {
	t.DialContext = CountingDial(t.DialContext)
	return Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var ex Exchange
	return ex.RoundTrip(t.Transport, req)
}
