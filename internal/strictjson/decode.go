// Package strictjson decodes JSON documents that people write: settings files
// and the operators' customer, plan and out-of-service documents. It derives a
// JSON schema from the Go type, validates the whole document against it and
// reports every problem with its path. Unknown, duplicate, missing and ill-typed
// fields, trailing data and oversized documents are rejected. Recursive Go types
// are not supported.
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

// MaxSize is the maximum size of a document, in bytes. It equals the maximum size
// of a value in the platform's key-value store.
const MaxSize = 1 << 20

// Error is the class of all errors of this package. Errors about the contents of
// a document wrap *Problems.
var Error = errs.Class("strictjson")

// Decode validates and decodes a document. On failure it returns the zero value
// and an error that lists the problems.
func Decode[T any](data []byte) (T, error) {
	return DecodeAt[T]("", data)
}

// DecodeAt is Decode for a part of a larger document. The path of the part, such
// as "node.platform.settings", prefixes the path of each problem.
func DecodeAt[T any](path string, data []byte) (T, error) {
	var zero, value T
	schema, err := schemaOf[T]()
	if err != nil {
		return zero, err
	}
	problems, decodable := scan(path, data)
	if !decodable {
		return zero, problems.Err()
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return zero, Error.Wrap(err)
	}
	schema.validate(path, document, problems)
	if err := problems.Err(); err != nil {
		return zero, err
	}
	if err := unmarshal(data, &value); err != nil {
		return zero, decodeProblem(path, err)
	}
	return value, nil
}

func unmarshal(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}

// decodeProblem converts an error of encoding/json to a problem. It covers values
// that pass the schema but that the Go type rejects.
func decodeProblem(path string, err error) error {
	problems := &Problems{}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		problems.Add(Problem{
			Path:    JoinPath(path, mismatch.Field),
			Value:   mismatch.Value,
			Allowed: "a value that fits " + mismatch.Type.String(),
		})
		return problems.Err()
	}
	problems.Add(Problem{Path: path, Value: err.Error(), Allowed: "a well-formed value"})
	return problems.Err()
}

// checkSizeAndEncoding reports a document that exceeds MaxSize or is not valid
// UTF-8.
func checkSizeAndEncoding(path string, data []byte) *Problems {
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
