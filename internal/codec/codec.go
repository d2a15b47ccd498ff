// Package codec encodes messages as msgpack and decodes them. Structs are
// encoded as arrays of their fields, by position, so a new field must be added
// last.
package codec

import (
	"bytes"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("codec")

// Raw is an encoded message that is passed through without decoding.
type Raw = msgpack.RawMessage

// Marshal returns the encoding of a message.
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

// Unmarshal decodes a message into the value that message points to. It returns an error,
// and decodes nothing, if the message nests too deeply, declares more than it has, has
// other fields than the type or an integer that is out of its field's range.
func Unmarshal(body []byte, message any) error {
	if err := validate(body, reflect.TypeOf(message)); err != nil {
		return err
	}
	return Error.Wrap(msgpack.Unmarshal(body, message))
}
