// Package rpc implements remote calls between the system's processes: msgpack
// frames over TCP with mutual TLS. A malformed or oversized frame closes its
// connection and has no other effect.
package rpc

import (
	"encoding/binary"
	"io"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/zeebo/errs"
)

// MaxFrameSize is the largest frame body, in bytes. A document of the largest
// value size that the platform allows fits into it, including its envelope.
const MaxFrameSize = 2 << 20

// frameHeaderSize is the size of the big-endian length that precedes the body of
// a frame, in bytes.
const frameHeaderSize = 4

// Error is the class of all errors of this package.
var Error = errs.Class("rpc")

// The errors of a call, wrapped in Error. Test them with errors.Is.
var (
	// ErrNotSent is returned if the peer received nothing of the call.
	ErrNotSent = errs.New("call was not sent")
	// ErrNoReply is returned if the call was sent and its outcome is unknown.
	ErrNoReply = errs.New("no reply to the call")
	// ErrFrameTooLarge is returned if a frame body exceeds MaxFrameSize.
	ErrFrameTooLarge = errs.New("frame too large")
)

// RemoteError is an error returned by the peer's handler.
type RemoteError struct {
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return "remote: " + e.Text }

// Method identifies the operation that a call requests. See methods.go.
type Method uint8

type frameKind uint8

const (
	frameRequest frameKind = 1
	frameReply   frameKind = 2
	frameError   frameKind = 3
)

// envelope is the body of every frame. A reply carries the ID of its request.
type envelope struct {
	Kind   frameKind
	Method Method
	ID     uint64
	Body   codec.Raw
}

func writeFrame(w io.Writer, e envelope) error {
	body, err := codec.Marshal(&e)
	if err != nil {
		return Error.Wrap(err)
	}
	if len(body) > MaxFrameSize {
		return Error.Wrap(ErrFrameTooLarge)
	}
	frame := make([]byte, frameHeaderSize, frameHeaderSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	_, err = w.Write(frame)
	return Error.Wrap(err)
}

func readFrame(r io.Reader) (envelope, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return envelope{}, Error.Wrap(err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameSize {
		return envelope{}, Error.Wrap(ErrFrameTooLarge)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return envelope{}, Error.Wrap(err)
	}
	var e envelope
	if err := codec.Unmarshal(body, &e); err != nil {
		return envelope{}, Error.Wrap(err)
	}
	return e, nil
}
