package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
)

// firstBodyBytes is the first size of the buffer for a body.
const firstBodyBytes = 4 << 10

// readBody returns the body of a request, or the status with which it is refused.
func (c *conn) readBody(rc *app.RequestContext, limit int) (body []byte, status int) {
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
			data = grow(data, most)
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
func grow(data []byte, most int) []byte {
	grown := make([]byte, len(data), min(most, max(firstBodyBytes, 2*cap(data))))
	copy(grown, data)
	return grown
}

// refusalStatus returns the status for a request that could not be read.
func refusalStatus(err error) int {
	var timeout net.Error
	switch {
	case errors.Is(err, hertzerrors.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, hertzerrors.ErrHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
