package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
)

const (
	// freeBodyBytes is the part of a body that ConnBytes includes, and the first size of
	// the buffer for a body.
	freeBodyBytes = 4 << 10
	// bodyCopies is how often the bytes of a body are held while its buffer grows.
	bodyCopies = 2
)

// readBody returns the body of a request, or the status with which it is refused.
func (c *conn) readBody(rc *app.RequestContext, limit int) (body []byte, status int) {
	if err := c.chargeHead(rc.Request.Header.RawHeaders()); err != nil {
		return nil, http.StatusServiceUnavailable
	}
	if !rc.Request.IsBodyStream() {
		return nil, 0
	}
	length := rc.Request.Header.ContentLength() // negative if the body is chunked
	if length > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	c.beginBody(limit)
	defer c.endBody()
	body, err := c.readAll(rc.Request.BodyStream(), length, limit)
	if err == nil {
		return body, 0
	}
	if c.failure == nil {
		c.failure = err
	}
	return nil, refusalStatus(c.failure)
}

// readAll reads r to its end. length is the length of the data, or negative.
func (c *conn) readAll(r io.Reader, length, limit int) ([]byte, error) {
	most := limit + 1 // one byte more shows that the data are too long
	if length >= 0 {
		most = length
	}
	var data []byte
	for {
		if len(data) == most && length >= 0 {
			return data, nil
		}
		if len(data) > limit {
			return nil, hertzerrors.ErrBodyTooLarge
		}
		if len(data) == cap(data) {
			grown, err := c.grow(data, most)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		// Hertz buffers as much of a chunk as it is asked for.
		n, err := r.Read(data[len(data):min(cap(data), len(data)+bufferBytes)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF) && (length < 0 || len(data) == length):
			if len(data) > limit {
				return nil, hertzerrors.ErrBodyTooLarge
			}
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns data with more capacity, of most at most.
func (c *conn) grow(data []byte, most int) ([]byte, error) {
	size := min(most, max(freeBodyBytes, 2*cap(data)))
	if !c.charge(len(c.buf), c.head, bodyCopies*int64(max(0, size-freeBodyBytes))) {
		return nil, errOverloaded
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, nil
}

// dropBody gives back what the body takes.
func (c *conn) dropBody() { c.charge(len(c.buf), c.head, 0) }

// refusalStatus returns the status for a request that could not be read.
func refusalStatus(err error) int {
	var timeout net.Error
	switch {
	case errors.Is(err, errOverloaded):
		return http.StatusServiceUnavailable
	case errors.Is(err, hertzerrors.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, hertzerrors.ErrHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
