package request

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

// replayLimit is the maximum size of a body, in bytes, that is read in full
// before the request waits for a slot and that can be sent again.
const replayLimit = 16 << 10

// body is the body of a request. A short one is buffered. A long one is
// streamed from the caller and can be sent again only while no attempt has read
// from it.
type body struct {
	// head is the buffered start of the body.
	head []byte
	// rest is the remainder of a long body, which the caller may not have sent
	// yet; nil for a short one.
	rest io.Reader
	// length is the content length, in bytes; -1 if it is unknown.
	length int64
	// latest is the reader through which the latest attempt sends a long body.
	latest *streamedBody
}

// readBody buffers the start of a request's body, so that a slow caller with a
// short body holds no slot.
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

// replayable stops the reads of the latest attempt and reports whether the
// body can be sent from its start.
func (b *body) replayable() bool {
	return b.rest == nil || b.latest == nil || b.latest.stopReading()
}

// attach sets the body and the content length of an outgoing request.
func (b *body) attach(out *http.Request) {
	out.ContentLength = b.length
	out.Body = http.NoBody
	switch {
	case b.rest != nil:
		b.latest = &streamedBody{reader: io.MultiReader(bytes.NewReader(b.head), b.rest)}
		out.Body = b.latest
	case len(b.head) > 0:
		out.Body = io.NopCloser(bytes.NewReader(b.head))
	}
}

// streamedBody is the body of one attempt that sends a long body. Closing it
// doesn't close the caller's body.
type streamedBody struct {
	reader io.Reader

	mu          sync.Mutex
	readStarted bool
	stopped     bool
}

// Read implements io.Reader.
func (r *streamedBody) Read(data []byte) (int, error) {
	if err := r.startRead(); err != nil {
		return 0, err
	}
	return r.reader.Read(data)
}

func (r *streamedBody) startRead() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return Error.New("read of the request body after the end of the attempt")
	}
	r.readStarted = true
	return nil
}

// stopReading makes further reads fail and reports whether there has been no
// read.
func (r *streamedBody) stopReading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return !r.readStarted
}

// Close implements io.Closer.
func (r *streamedBody) Close() error { return nil }
