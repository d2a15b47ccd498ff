// Package strictjson decodes JSON documents that people write: settings and the
// operators' lists. It derives a JSON schema from the Go type, checks the whole
// document against it and reports every problem with its path. Unknown,
// repeated, missing and ill-typed fields, trailing data and oversized documents
// are refused. Types must not be recursive.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/zeebo/errs"
)

// MaxSize is the largest document, in bytes. It equals the largest value that
// the platform keeps.
const MaxSize = 1 << 20

// Error is the class of all errors of this layer. Errors about the contents of
// a document wrap *Problems.
var Error = errs.Class("strictjson")

// Decode decodes a document strictly. On failure it returns the zero value.
func Decode[T any](data []byte) (T, error) {
	return DecodeAt[T]("", data)
}

// DecodeAt is Decode for a part of a larger document; path is where the part
// stands, as in "node.platform.settings", and begins the path of each problem.
func DecodeAt[T any](path string, data []byte) (T, error) {
	var none, value T
	schema, err := schemaOf[T]()
	if err != nil {
		return none, err
	}
	problems, decodable := scan(path, data)
	if !decodable {
		return none, problems.Err()
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return none, Error.Wrap(err)
	}
	schema.check(path, document, problems)
	if err := problems.Err(); err != nil {
		return none, err
	}
	if err := unmarshal(data, &value); err != nil {
		return none, decodeProblem(path, err)
	}
	return value, nil
}

func unmarshal(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}

// decodeProblem turns what only the type's own decoder refuses into a problem.
func decodeProblem(path string, err error) error {
	problems := &Problems{}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		problems.Add(Problem{
			Path:    Join(path, mismatch.Field),
			Value:   mismatch.Value,
			Allowed: "a value that fits " + mismatch.Type.String(),
		})
		return problems.Err()
	}
	problems.Add(Problem{Path: path, Value: err.Error(), Allowed: "a well-formed value"})
	return problems.Err()
}

func checkEnvelope(path string, data []byte) *Problems {
	problems := &Problems{}
	if len(data) > MaxSize {
		problems.Add(Problem{
			Path:    path,
			Value:   fmt.Sprintf("%d bytes", len(data)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxSize),
		})
		return problems
	}
	if !utf8.Valid(data) {
		problems.Add(Problem{Path: path, Value: "invalid UTF-8", Allowed: "UTF-8 text"})
	}
	return problems
}
