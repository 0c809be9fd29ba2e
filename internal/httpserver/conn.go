package httpserver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"

	"github.com/baobabsill/baobabsill/internal/listener"
)

const (
	// ConnBytes is what a connection holds before its first request: its buffers, its
	// request context and its goroutine.
	ConnBytes = 32 << 10
	// bufferBytes is the buffer of a connection between requests.
	bufferBytes = 4 << 10
	// headFieldBytes is what a header field takes beside its bytes, and headCopies how
	// often its bytes are held, once Hertz and the handler have parsed it.
	headFieldBytes = 256
	headCopies     = 4
	// maxChunkOverhead bounds the bytes of a chunked body for each byte of its data. A
	// chunk of one byte has six.
	maxChunkOverhead = 32
	// freeHeadBytes is the part of a parsed head that ConnBytes includes.
	freeHeadBytes = 8 << 10
)

// errMalformedHead ends the reading of a head that is whole and cannot be parsed.
var errMalformedHead = errors.New("malformed head")

// errOverloaded ends the reading of a request for which there is no room.
var errOverloaded = errors.New("no room for the request")

// conn is a connection of Hertz with a buffer of its own. The one of Hertz keeps each
// segment and a copy of all of them until the request has been answered.
type conn struct {
	network.Conn // writes and deadlines; its buffer for reads is not used
	raw          *listener.Conn
	limits       func() Limits
	cancel       context.CancelFunc // of the requests
	aborted      chan struct{}      // receives when the read of DetectConnectionClose has ended

	buf  []byte
	r, w int // buf[r:w] was read and not skipped
	// parsed is set once Hertz has got all that is buffered and has skipped nothing. If
	// it then asks for one byte more, a head or trailers have no end yet.
	parsed bool

	// consumed is how many bytes of a body were read and skipped, with its framing, and
	// mostConsumed a bound for it.
	consumed, mostConsumed int
	// failure is the last error of a read, which Hertz passes on as text only.
	failure error
	// head is what the largest head so far takes, body what the body takes, in bytes.
	head, body int64
}

func newConn(c network.Conn, raw *listener.Conn, limits func() Limits, cancel context.CancelFunc) *conn {
	return &conn{Conn: c, raw: raw, limits: limits, cancel: cancel, aborted: make(chan struct{}, 1), mostConsumed: math.MaxInt}
}

// Len returns how many bytes are buffered.
func (c *conn) Len() int { return c.w - c.r }

// Peek returns the next n bytes, which stay valid until the next call that reads.
func (c *conn) Peek(n int) ([]byte, error) {
	if c.parsed && n == c.Len()+1 {
		if err := c.fillHead(); err != nil {
			return nil, c.fail(err)
		}
	} else if err := c.fill(n); err != nil {
		return nil, c.fail(err)
	}
	c.parsed = n == c.Len()
	return c.buf[c.r : c.r+n], nil
}

func (c *conn) fail(err error) error {
	c.failure = err
	switch {
	case errors.Is(err, errOverloaded):
		c.raw.RefuseOverloaded()
		c.raw.Linger()
	case errors.Is(err, errMalformedHead), errors.Is(err, hertzerrors.ErrHeaderTooLarge):
		c.raw.Linger()
	}
	return err
}

// fill reads until n bytes are buffered.
func (c *conn) fill(n int) error {
	if c.Len() >= n {
		return nil
	}
	if c.consumed > c.mostConsumed {
		return hertzerrors.ErrBodyTooLarge
	}
	if c.Len() == 0 {
		c.r, c.w = 0, 0
	}
	if err := c.reserve(n); err != nil {
		return err
	}
	// More than n is read only as far as the smallest buffer has room, so that a long
	// peek never leaves much behind.
	end := min(len(c.buf), c.r+max(n, bufferBytes))
	for c.Len() < n {
		m, err := c.raw.Read(c.buf[c.w:end])
		c.w += m
		if err != nil && c.Len() < n {
			return err
		}
	}
	return nil
}

// fillHead reads until the buffer holds the end of a head or of trailers. Hertz parses
// all of it again for each segment otherwise.
func (c *conn) fillHead() error {
	limit := c.limits().Head
	if endsHead(c.buf[c.r:c.w], 0) {
		return errMalformedHead // Hertz waits for more of a line without a colon
	}
	if err := c.chargeHead(c.buf[c.r:c.w]); err != nil {
		return err
	}
	for {
		seen := c.Len()
		if seen >= limit {
			return hertzerrors.ErrHeaderTooLarge
		}
		if err := c.reserve(min(limit, max(seen+1, 2*seen))); err != nil {
			return err
		}
		m, err := c.raw.Read(c.buf[c.w:min(len(c.buf), c.r+limit)])
		c.w += m
		if m == 0 && err != nil {
			return err
		}
		// An empty line may begin within the last three bytes that were seen before.
		if endsHead(c.buf[c.r:c.w], max(0, seen-3)) {
			return c.chargeHead(c.buf[c.r:c.w])
		}
	}
}

// endsHead reports whether b has an empty line that ends at or behind b[from:].
func endsHead(b []byte, from int) bool {
	tail := b[from:]
	return bytes.Contains(tail, []byte("\n\r\n")) || bytes.Contains(tail, []byte("\n\n")) ||
		bytes.HasPrefix(b, []byte("\r\n")) || bytes.HasPrefix(b, []byte("\n"))
}

// reserve makes the buffer hold n bytes from r on.
func (c *conn) reserve(n int) error {
	if n <= len(c.buf)-c.r {
		return nil
	}
	size := max(bufferBytes, n)
	if size <= len(c.buf) {
		c.w = copy(c.buf, c.buf[c.r:c.w])
		c.r = 0
		return nil
	}
	if !c.charge(size, c.head, c.body) {
		return errOverloaded
	}
	c.replaceBuffer(size)
	return nil
}

func (c *conn) replaceBuffer(size int) {
	buf := make([]byte, size)
	c.w = copy(buf, c.buf[c.r:c.w])
	c.buf, c.r = buf, 0
}

// charge sets what the connection holds and returns false if there is no room.
func (c *conn) charge(buffer int, head, body int64) bool {
	if !c.raw.Lease().Resize(ConnBytes + int64(max(0, buffer-bufferBytes)) + head + body) {
		return false
	}
	c.head, c.body = head, body
	return true
}

// chargeHead charges a head for what it takes once it is parsed. The request context
// keeps that for later requests of the connection.
func (c *conn) chargeHead(head []byte) error {
	parsed := int64(headCopies*len(head)+headFieldBytes*bytes.Count(head, []byte("\n"))) - freeHeadBytes
	if parsed > c.head && !c.charge(len(c.buf), parsed, c.body) {
		return errOverloaded
	}
	return nil
}

// Skip drops the next n bytes, which must be buffered.
func (c *conn) Skip(n int) error {
	if n > c.Len() {
		return io.ErrShortBuffer
	}
	c.r += n
	c.parsed = false
	c.consumed += n
	return nil
}

// beginBody bounds what is read for a body of limit bytes at most.
func (c *conn) beginBody(limit int) {
	c.failure = nil
	c.consumed, c.mostConsumed = 0, maxChunkOverhead*(limit+bufferBytes)
}

// endBody ends what beginBody began.
func (c *conn) endBody() { c.consumed, c.mostConsumed = 0, math.MaxInt }

// Release gives back what the buffer has grown by.
func (c *conn) Release() error {
	if len(c.buf) > bufferBytes && c.Len() <= bufferBytes {
		c.replaceBuffer(bufferBytes)
		c.charge(bufferBytes, c.head, c.body)
	}
	return nil
}

// ReadByte returns the next byte.
func (c *conn) ReadByte() (byte, error) {
	b, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	return b[0], c.Skip(1)
}

// ReadBinary returns a copy of the next n bytes.
func (c *conn) ReadBinary(n int) ([]byte, error) {
	b, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	b = bytes.Clone(b)
	return b, c.Skip(n)
}

// Read reads what is buffered, or else from the connection.
func (c *conn) Read(b []byte) (int, error) {
	if c.Len() == 0 {
		n, err := c.raw.Read(b)
		if err != nil {
			c.failure = err
		}
		return n, err
	}
	n := copy(b, c.buf[c.r:c.w])
	return n, c.Skip(n)
}

// DetectConnectionClose cancels the requests of the connection when the client closes it.
// No other read is allowed until AbortBlockingRead.
func (c *conn) DetectConnectionClose() {
	c.SetReadDeadline(time.Time{}) //nolint:errcheck // fails only on a closed connection
	go func() {
		var timeout net.Error
		if _, err := c.Peek(1); err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			c.cancel()
		}
		c.aborted <- struct{}{}
	}()
}

// AbortBlockingRead ends what DetectConnectionClose began.
func (c *conn) AbortBlockingRead() {
	c.raw.InterruptRead()
	<-c.aborted
}
