// Package codec is the one place that turns messages into msgpack and back.
// Structs are encoded as arrays of their fields, so a new field goes last.
package codec

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("codec")

// Raw is an encoded message that is kept as it is.
type Raw = msgpack.RawMessage

// Marshal encodes a message.
func Marshal(message any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		return nil, Error.Wrap(err)
	}
	return buffer.Bytes(), nil
}

// Unmarshal decodes a message into the value that message points to.
func Unmarshal(body []byte, message any) error {
	return Error.Wrap(msgpack.Unmarshal(body, message))
}
