package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	// MaxDepth is the maximum nesting depth of objects and arrays.
	MaxDepth = 64
	// maxNumberLength is the maximum length of a number, in characters.
	maxNumberLength = 40
)

// scanner walks the tokens of a document to find problems that encoding/json
// accepts without an error: duplicate fields, trailing data and oversized numbers.
// It also limits the nesting depth, and reports malformed JSON with its position.
type scanner struct {
	data     []byte
	decoder  *json.Decoder
	problems *Problems
	// undecodable is set by trailing data and oversized numbers. The document must
	// then be neither validated nor decoded.
	undecodable bool
}

// scan lists the syntax problems of a document. It reports whether the document
// can still be decoded, so that problems of its contents are found as well.
func scan(path string, data []byte) (problems *Problems, decodable bool) {
	problems = checkSizeAndEncoding(path, data)
	if len(problems.List) > 0 {
		return problems, false
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	s := &scanner{data: data, decoder: decoder, problems: problems}
	complete := s.value(path, 0)
	if complete {
		s.checkEnd(path)
	}
	return problems, complete && !s.undecodable
}

// value scans the next value, which is nested in depth containers. It returns false
// if the rest of the document can't be scanned: after malformed JSON and at the
// maximum depth.
func (s *scanner) value(path string, depth int) bool {
	token, ok := s.nextToken(path)
	if !ok {
		return false
	}
	switch token := token.(type) {
	case json.Delim:
		return s.container(path, token, depth+1)
	case json.Number:
		s.checkNumber(path, token)
	}
	return true
}

// container scans the rest of an object or array after its opening delimiter. It
// returns the same as value.
func (s *scanner) container(path string, open json.Delim, depth int) bool {
	if depth > MaxDepth {
		s.problems.Add(Problem{
			Path:    path,
			Value:   "nested too deeply",
			Allowed: fmt.Sprintf("at most %d levels", MaxDepth),
		})
		return false
	}
	if open == '{' {
		return s.object(path, depth)
	}
	return s.array(path, depth)
}

func (s *scanner) object(path string, depth int) bool {
	seen := map[string]bool{}
	for s.decoder.More() {
		token, ok := s.nextToken(path)
		if !ok {
			return false
		}
		name, _ := token.(string)
		field := JoinPath(path, name)
		if seen[name] {
			s.problems.Add(Problem{Path: field, Value: "repeated field", Allowed: "each field once"})
		}
		seen[name] = true
		if !s.value(field, depth) {
			return false
		}
	}
	_, ok := s.nextToken(path)
	return ok
}

func (s *scanner) array(path string, depth int) bool {
	for i := 0; s.decoder.More(); i++ {
		if !s.value(IndexPath(path, i), depth) {
			return false
		}
	}
	_, ok := s.nextToken(path)
	return ok
}

// checkNumber reports a number that is too long or exceeds the range of float64.
func (s *scanner) checkNumber(path string, number json.Number) {
	_, err := strconv.ParseFloat(number.String(), 64)
	if err == nil && len(number) <= maxNumberLength {
		return
	}
	s.undecodable = true
	s.problems.Add(Problem{
		Path:    path,
		Value:   number.String(),
		Allowed: fmt.Sprintf("a number of at most %d characters that fits 64 bits", maxNumberLength),
	})
}

// checkEnd reports data after the document.
func (s *scanner) checkEnd(path string) {
	_, err := s.decoder.Token()
	if errors.Is(err, io.EOF) {
		return
	}
	s.undecodable = true
	s.problems.Add(Problem{
		Path:    path,
		Value:   "more data after the document, at " + s.position(s.decoder.InputOffset()),
		Allowed: "one JSON value",
	})
}

// nextToken reads a token. At malformed JSON it reports the problem and returns
// false.
func (s *scanner) nextToken(path string) (json.Token, bool) {
	token, err := s.decoder.Token()
	if err == nil {
		return token, true
	}
	offset := s.decoder.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	s.problems.Add(Problem{
		Path:    path,
		Value:   fmt.Sprintf("%v at %s", err, s.position(offset)),
		Allowed: "well-formed JSON",
	})
	return nil, false
}

// position returns the line of the last byte before an offset and its column in
// bytes; both count from 1.
func (s *scanner) position(offset int64) string {
	before := s.data[:min(offset, int64(len(s.data)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf("line %d column %d", line, column)
}
