package request

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

// replayLimit is the size of the bodies that are read before a request waits
// for a slot, and that can be offered again, in bytes.
const replayLimit = 16 << 10

// body is the body of a request. A short one is kept, a long one is passed on
// from the caller and can be offered only while nothing of it was read.
type body struct {
	head   []byte
	rest   io.Reader
	length int64
	// offered is the reader of the latest offer of a long body.
	offered *restBody
}

// readBody reads the head of a request's body, so that a slow caller holds no
// slot for a short one.
func readBody(r *http.Request) (*body, error) {
	head, err := io.ReadAll(io.LimitReader(r.Body, replayLimit+1))
	if err != nil {
		return nil, Error.New("body: %v", err)
	}
	if len(head) <= replayLimit {
		return &body{head: head, length: int64(len(head))}, nil
	}
	return &body{head: head, rest: r.Body, length: r.ContentLength}, nil
}

// replayable ends the latest offer's reading, and reports whether the body can
// be offered from its start.
func (b *body) replayable() bool {
	return b.rest == nil || b.offered == nil || b.offered.end()
}

// attach gives the body to a request that is about to be offered.
func (b *body) attach(out *http.Request) {
	out.ContentLength = b.length
	out.Body = http.NoBody
	switch {
	case b.rest != nil:
		b.offered = &restBody{reader: io.MultiReader(bytes.NewReader(b.head), b.rest)}
		out.Body = b.offered
	case len(b.head) > 0:
		out.Body = io.NopCloser(bytes.NewReader(b.head))
	}
}

// restBody reads a long body once. Closing it doesn't close the caller's.
type restBody struct {
	reader io.Reader

	mu      sync.Mutex
	touched bool
	ended   bool
}

// Read implements io.Reader.
func (r *restBody) Read(data []byte) (int, error) {
	if err := r.touch(); err != nil {
		return 0, err
	}
	return r.reader.Read(data)
}

func (r *restBody) touch() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return Error.New("the offer has ended")
	}
	r.touched = true
	return nil
}

// end forbids further reads and reports whether there were none.
func (r *restBody) end() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	return !r.touched
}

// Close implements io.Closer.
func (r *restBody) Close() error { return nil }
