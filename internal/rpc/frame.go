// Package rpc carries calls between the system's processes: msgpack frames over
// TCP with mutual TLS. A frame that is malformed or too large ends its
// connection and nothing else.
package rpc

import (
	"encoding/binary"
	"io"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/zeebo/errs"
)

// MaxFrameSize is the largest frame body, in bytes. It holds a document of the
// platform's largest value size with room for its envelope.
const MaxFrameSize = 2 << 20

const frameHeaderSize = 4

// Error is the class of all errors of this layer.
var Error = errs.Class("rpc")

// The errors of a call, wrapped in Error. Test them with errors.Is.
var (
	// ErrNotSent tells that the peer received nothing of the call.
	ErrNotSent = errs.New("call was not sent")
	// ErrNoReply tells that the call was sent and its outcome is unknown.
	ErrNoReply = errs.New("no reply to the call")
	// ErrFrameTooLarge tells that a frame exceeds MaxFrameSize.
	ErrFrameTooLarge = errs.New("frame too large")
)

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return "remote: " + e.Text }

// Method names what a call asks for. All methods are listed in methods.go.
type Method uint8

type frameKind uint8

const (
	frameRequest frameKind = 1
	frameReply   frameKind = 2
	frameError   frameKind = 3
)

// envelope is the body of every frame.
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
