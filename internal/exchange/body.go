package exchange

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// MaxHeadBytes bounds the head of one answer, interim answers included.
	MaxHeadBytes = 64 << 10
	// firstReadBytes is the size of the first buffer for a body of unknown length.
	firstReadBytes = 4 << 10
	// smallBodyBytes is the size up to which bodies are read into one buffer. Answers
	// are usually far smaller.
	smallBodyBytes = 64 << 10
	// blockBytes is the size of the blocks into which the rest of a large body is read.
	blockBytes = 64 << 10
	// keepBlocksFor is how long blocks that no answer needs are kept. Answers without
	// end come in series.
	keepBlocksFor = 10 * time.Second
)

// Errors of BodyReader.Read.
var (
	ErrBodyTooLarge = errors.New("answer too large")
	ErrNoBodyMemory = errors.New("no memory for a large answer")
)

// BodyReader reads the bodies of answers. A server in trouble may send bytes without end,
// and many may do so at once, so it bounds the memory of one body and of all. The blocks
// of large bodies are used again: as garbage, those of answers that failed would take as
// much memory again until they are collected. It is safe for concurrent use.
type BodyReader struct {
	maxBody   int64
	maxBlocks int

	mu     sync.Mutex
	unused [][]byte // blocks
	blocks int      // allocated, unused ones included
	// lastUsed is when blocks were last returned.
	lastUsed time.Time
}

// NewBodyReader returns a BodyReader for bodies of up to maxBody bytes. Those that are
// being read at the same time take up to largeMemory bytes together, in addition to
// smallBodyBytes for each.
func NewBodyReader(maxBody, largeMemory int64) *BodyReader {
	return &BodyReader{maxBody: maxBody, maxBlocks: int(largeMemory / blockBytes)}
}

// takeBlock returns an empty block, or nil if all are in use.
func (r *BodyReader) takeBlock() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.unused); n > 0 {
		block := r.unused[n-1]
		r.unused = r.unused[:n-1]
		return block
	}
	if r.blocks >= r.maxBlocks {
		return nil
	}
	r.blocks++
	return make([]byte, 0, blockBytes)
}

// returnBlocks makes blocks available again.
func (r *BodyReader) returnBlocks(blocks [][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range blocks {
		r.unused = append(r.unused, b[:0])
	}
	r.lastUsed = time.Now()
	if len(r.unused) == r.blocks && len(blocks) > 0 {
		time.AfterFunc(keepBlocksFor, r.releaseUnused)
	}
}

// releaseUnused gives up all blocks if none was used for keepBlocksFor.
func (r *BodyReader) releaseUnused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unused) == r.blocks && time.Since(r.lastUsed) >= keepBlocksFor {
		r.unused, r.blocks = nil, 0
	}
}

// Read reads a body to its end. It returns ErrBodyTooLarge or ErrNoBodyMemory if that
// takes more memory than it may, or the error of the connection; then the rest of the body
// is unread.
func (r *BodyReader) Read(resp *http.Response) ([]byte, error) {
	size := int64(firstReadBytes)
	if known := resp.ContentLength; known > r.maxBody {
		return nil, ErrBodyTooLarge
	} else if known >= 0 {
		size = min(known+1, smallBodyBytes) // room to see the end
	}
	body := make([]byte, 0, size)
	for {
		ended, err := fill(resp.Body, &body)
		switch {
		case err != nil:
			return nil, err
		case int64(len(body)) > r.maxBody:
			return nil, ErrBodyTooLarge
		case ended:
			return body, nil
		}
		if cap(body) >= smallBodyBytes {
			return r.readLarge(resp.Body, body)
		}
		body = append(make([]byte, 0, min(2*cap(body), smallBodyBytes)), body...)
	}
}

// readLarge reads the rest of a body that begins with start.
func (r *BodyReader) readLarge(from io.Reader, start []byte) ([]byte, error) {
	var blocks [][]byte
	defer func() { r.returnBlocks(blocks) }()
	for size := len(start); ; {
		block := r.takeBlock()
		if block == nil {
			return nil, ErrNoBodyMemory
		}
		ended, err := fill(from, &block)
		blocks = append(blocks, block)
		size += len(block)
		switch {
		case err != nil:
			return nil, err
		case int64(size) > r.maxBody:
			return nil, ErrBodyTooLarge
		case ended:
			return slices.Concat(append([][]byte{start}, blocks...)...), nil
		}
	}
}

// fill reads into the free capacity of body. It reports whether the end was reached.
func fill(from io.Reader, body *[]byte) (ended bool, err error) {
	for len(*body) < cap(*body) {
		n, err := from.Read((*body)[len(*body):cap(*body)])
		*body = (*body)[:len(*body)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// DiscardBody reads a body that is not used, so that its connection can be reused. The
// rest of a large one stays unread, which closes the connection.
func DiscardBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, smallBodyBytes) // an error closes the connection too
}
