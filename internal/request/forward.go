package request

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const copyBufferSize = 32 << 10

// outgoing makes the request that is offered to a target. The body is the
// caller's, so it can be read once.
func outgoing(ctx context.Context, r *http.Request) *http.Request {
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

func setDeadline(ctx context.Context, out *http.Request) {
	out.Header.Del(HeaderDeadline)
	deadline, limited := ctx.Deadline()
	if !limited {
		return
	}
	left := max(time.Until(deadline).Milliseconds(), 0)
	out.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
}

// relay passes an answer on to the caller. When it returns an error the answer
// was cut short and the caller's stream must be reset.
func relay(w http.ResponseWriter, answer *http.Response, keep *recorder) error {
	defer answer.Body.Close()
	header := w.Header()
	copyEndToEnd(header, answer.Header)
	if answer.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	announceTrailers(header, answer.Trailer)
	w.WriteHeader(answer.StatusCode)
	if err := copyFlushing(w, answer.Body, keep); err != nil {
		return err
	}
	for name, values := range answer.Trailer {
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

// copyFlushing copies a body and passes each piece on as it comes.
func copyFlushing(w http.ResponseWriter, body io.Reader, keep *recorder) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			keep.add(buffer[:n])
			if _, err := w.Write(buffer[:n]); err != nil {
				return Error.New("caller: %v", err)
			}
			if err := control.Flush(); err != nil {
				return Error.New("caller: %v", err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &cutError{cause: err}
		}
	}
}

// cutError tells that the target's answer ended before it was whole.
type cutError struct {
	cause error
}

// Error implements error.
func (e *cutError) Error() string { return "the answer was cut short: " + e.cause.Error() }

// recorder keeps the start of an answer, up to a bound. A nil recorder keeps
// nothing.
type recorder struct {
	limit    int
	kept     []byte
	overflow bool
}

func (r *recorder) add(data []byte) {
	if r == nil || r.overflow {
		return
	}
	if len(r.kept)+len(data) > r.limit {
		r.overflow = true
		r.kept = nil
		return
	}
	r.kept = append(r.kept, data...)
}
