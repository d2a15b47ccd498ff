package request

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// copyBufferSize is the size of the buffer for relaying a body, in bytes.
const copyBufferSize = 32 << 10

// outgoingRequest returns the request that is sent to a target or a peer. Its body is
// still the caller's, which can be read only once; call.outgoing replaces it.
func outgoingRequest(ctx context.Context, r *http.Request) *http.Request {
	out := r.Clone(ctx)
	out.Header = http.Header{}
	copyEndToEnd(out.Header, r.Header)
	out.TransferEncoding = nil
	out.Close = false
	out.Trailer = nil
	out.GetBody = nil
	setDeadline(ctx, out)
	return out
}

// setDeadline sets HeaderDeadline to the time left until the context's deadline.
func setDeadline(ctx context.Context, out *http.Request) {
	out.Header.Del(HeaderDeadline)
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return
	}
	remaining := max(time.Until(deadline).Milliseconds(), 0)
	out.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
}

// relay copies a response to the caller. If it returns an error, the response
// was truncated and the caller's stream must be reset.
func relay(w http.ResponseWriter, response *http.Response, recorder *bodyRecorder) error {
	defer response.Body.Close()
	header := w.Header()
	copyEndToEnd(header, response.Header)
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	announceTrailers(header, response.Trailer)
	w.WriteHeader(response.StatusCode)
	if err := copyFlushing(w, response.Body, recorder); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		header[name] = values
	}
	return nil
}

func announceTrailers(header, trailers http.Header) {
	if len(trailers) == 0 {
		return
	}
	var names []string
	for name := range trailers {
		names = append(names, name)
	}
	header.Set("Trailer", strings.Join(names, ", "))
}

// copyFlushing copies a body to the caller and flushes after each read, so that streamed
// responses are not delayed.
func copyFlushing(w http.ResponseWriter, body io.Reader, recorder *bodyRecorder) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			recorder.add(buffer[:n])
			if _, err := w.Write(buffer[:n]); err != nil {
				return Error.New("write to caller: %v", err)
			}
			if err := control.Flush(); err != nil {
				return Error.New("write to caller: %v", err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &truncatedError{cause: err}
		}
	}
}

// truncatedError reports that the target's response ended early.
type truncatedError struct {
	cause error
}

// Error implements error.
func (e *truncatedError) Error() string { return "response truncated: " + e.cause.Error() }

// bodyRecorder stores a body while it is relayed. If the body exceeds the limit, all of
// it is discarded. A nil bodyRecorder stores nothing.
type bodyRecorder struct {
	// limit is the maximum size of the body, in bytes.
	limit    int
	data     []byte
	overflow bool
}

func (r *bodyRecorder) add(data []byte) {
	if r == nil || r.overflow {
		return
	}
	if len(r.data)+len(data) > r.limit {
		r.overflow = true
		r.data = nil
		return
	}
	r.data = append(r.data, data...)
}
