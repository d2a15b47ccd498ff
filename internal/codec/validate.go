package codec

import (
	"encoding"
	"encoding/binary"
	"math"
	"reflect"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is how deeply arrays and maps may nest. The decoder recurses once per
// level, and Go cannot recover from a stack overflow.
const maxDepth = 32

// validate checks an encoded message before it is decoded into a value of a type: the
// message is complete, nothing follows it, its arrays and maps nest at most maxDepth
// levels, each declared length fits into the message, each struct has the type's number
// of fields, and each integer is in the range of its field. The decoder checks none of
// this itself.
func validate(body []byte, target reflect.Type) error {
	s := scanner{rest: body}
	if err := s.value(target, 0); err != nil {
		return err
	}
	if len(s.rest) > 0 {
		return Error.New("%d bytes follow the message", len(s.rest))
	}
	return nil
}

// scanner reads an encoded message from its start.
type scanner struct{ rest []byte }

// value reads one value of a type. A nil type accepts any value.
func (s *scanner) value(target reflect.Type, depth int) error {
	if depth > maxDepth {
		return Error.New("more than %d levels of arrays and maps", maxDepth)
	}
	code, err := s.byte()
	if err != nil {
		return err
	}
	if code == msgpcode.Nil {
		return checkNil(target)
	}
	target = scannedType(target)
	if count, size, ok := arrayHeader(code); ok {
		return s.array(target, count, size, depth)
	}
	if count, size, ok := mapHeader(code); ok {
		return s.dictionary(target, count, size, depth)
	}
	if target != nil && target.Kind() == reflect.Struct {
		return Error.New("code %#x in place of the fields of %s", code, target)
	}
	if isInteger(target) {
		return s.integer(target, code)
	}
	return s.scalar(code)
}

// checkNil refuses a nil in place of a struct: a list of them would take much more memory
// than its encoding.
func checkNil(target reflect.Type) error {
	if target = scannedTypeOfNil(target); target != nil && target.Kind() == reflect.Struct {
		return Error.New("nil in place of the fields of %s", target)
	}
	return nil
}

func (s *scanner) array(target reflect.Type, count, size, depth int) error {
	count, err := s.length(count, size)
	if err != nil {
		return err
	}
	if target != nil && target.Kind() == reflect.Struct {
		return s.fields(target, count, depth)
	}
	for range count {
		if err := s.value(elementType(target), depth+1); err != nil {
			return err
		}
	}
	return nil
}

func (s *scanner) fields(target reflect.Type, count, depth int) error {
	fields := fieldTypes(target)
	if count != len(fields) {
		return Error.New("%d fields of %s, which has %d", count, target, len(fields))
	}
	for _, field := range fields {
		if err := s.value(field, depth+1); err != nil {
			return err
		}
	}
	return nil
}

func (s *scanner) dictionary(target reflect.Type, count, size, depth int) error {
	if target != nil && target.Kind() == reflect.Struct {
		return Error.New("a map in place of the fields of %s", target)
	}
	count, err := s.length(count, size)
	if err != nil {
		return err
	}
	var key, element reflect.Type
	if target != nil && target.Kind() == reflect.Map {
		key, element = target.Key(), target.Elem()
	}
	for range count {
		if err := s.value(key, depth+1); err != nil {
			return err
		}
		if err := s.value(element, depth+1); err != nil {
			return err
		}
	}
	return nil
}

// length returns the number of elements of an array or a map. If size is not 0, the number
// is read from that many bytes. Each element takes a byte or more.
func (s *scanner) length(count, size int) (int, error) {
	if size > 0 {
		n, err := s.uint(size)
		if err != nil {
			return 0, err
		}
		count = int(min(n, math.MaxInt32))
	}
	if count > len(s.rest) {
		return 0, Error.New("%d elements declared in the last %d bytes", count, len(s.rest))
	}
	return count, nil
}

// integer reads an integer and checks its range. The decoder would wrap an integer that is
// out of range, and convert a float.
func (s *scanner) integer(target reflect.Type, code byte) error {
	value, negative, err := s.integerValue(code)
	if err != nil {
		return err
	}
	zero := reflect.Zero(target)
	overflows := false
	switch {
	case target.Kind() >= reflect.Uint && target.Kind() <= reflect.Uintptr:
		overflows = negative || zero.OverflowUint(value)
	case negative:
		overflows = zero.OverflowInt(int64(value))
	default:
		overflows = value > math.MaxInt64 || zero.OverflowInt(int64(value))
	}
	if overflows {
		return Error.New("an integer is out of the range of %s", target)
	}
	return nil
}

// integerValue returns the two's complement of an integer, and whether it is negative.
func (s *scanner) integerValue(code byte) (value uint64, negative bool, err error) {
	switch {
	case code <= msgpcode.PosFixedNumHigh:
		return uint64(code), false, nil
	case code >= msgpcode.NegFixedNumLow:
		return uint64(int64(int8(code))), true, nil
	case code >= msgpcode.Uint8 && code <= msgpcode.Uint64:
		value, err = s.uint(1 << (code - msgpcode.Uint8))
		return value, false, err
	case code >= msgpcode.Int8 && code <= msgpcode.Int64:
		size := 1 << (code - msgpcode.Int8)
		value, err = s.uint(size)
		shift := 64 - 8*size
		signed := int64(value<<shift) >> shift
		return uint64(signed), signed < 0, err
	default:
		return 0, false, Error.New("code %#x in place of an integer", code)
	}
}

// scalar reads a value other than an array or a map.
func (s *scanner) scalar(code byte) error {
	switch {
	case code <= msgpcode.PosFixedNumHigh || code >= msgpcode.NegFixedNumLow || code == msgpcode.False || code == msgpcode.True:
		return nil
	case msgpcode.IsFixedString(code):
		return s.skip(uint64(code & msgpcode.FixedStrMask))
	case code >= msgpcode.Bin8 && code <= msgpcode.Bin32:
		return s.skipSized(1<<(code-msgpcode.Bin8), 0)
	case code >= msgpcode.Str8 && code <= msgpcode.Str32:
		return s.skipSized(1<<(code-msgpcode.Str8), 0)
	case code >= msgpcode.Ext8 && code <= msgpcode.Ext32:
		return s.skipSized(1<<(code-msgpcode.Ext8), 1)
	case code == msgpcode.Float:
		return s.skip(4)
	case code == msgpcode.Double:
		return s.skip(8)
	case code >= msgpcode.Uint8 && code <= msgpcode.Uint64:
		return s.skip(1 << (code - msgpcode.Uint8))
	case code >= msgpcode.Int8 && code <= msgpcode.Int64:
		return s.skip(1 << (code - msgpcode.Int8))
	case code >= msgpcode.FixExt1 && code <= msgpcode.FixExt16:
		return s.skip(1 + 1<<(code-msgpcode.FixExt1))
	default:
		return Error.New("unknown code %#x", code)
	}
}

// skipSized skips a value whose length is in the next size bytes, and extra bytes more.
func (s *scanner) skipSized(size int, extra uint64) error {
	length, err := s.uint(size)
	if err != nil {
		return err
	}
	return s.skip(length + extra)
}

func (s *scanner) skip(count uint64) error {
	if count > uint64(len(s.rest)) {
		return Error.New("%d bytes declared in the last %d bytes", count, len(s.rest))
	}
	s.rest = s.rest[count:]
	return nil
}

func (s *scanner) byte() (byte, error) {
	if len(s.rest) == 0 {
		return 0, Error.New("the message ends early")
	}
	code := s.rest[0]
	s.rest = s.rest[1:]
	return code, nil
}

// uint reads a big-endian unsigned integer of 1, 2, 4 or 8 bytes.
func (s *scanner) uint(size int) (uint64, error) {
	if size > len(s.rest) {
		return 0, Error.New("the message ends early")
	}
	var padded [8]byte
	copy(padded[8-size:], s.rest)
	s.rest = s.rest[size:]
	return binary.BigEndian.Uint64(padded[:]), nil
}

// arrayHeader reports whether a code begins an array. The number of elements is count, or
// in the next size bytes if size is not 0.
func arrayHeader(code byte) (count, size int, ok bool) {
	switch {
	case msgpcode.IsFixedArray(code):
		return int(code & msgpcode.FixedArrayMask), 0, true
	case code == msgpcode.Array16:
		return 0, 2, true
	case code == msgpcode.Array32:
		return 0, 4, true
	default:
		return 0, 0, false
	}
}

// mapHeader is arrayHeader for maps.
func mapHeader(code byte) (count, size int, ok bool) {
	switch {
	case msgpcode.IsFixedMap(code):
		return int(code & msgpcode.FixedMapMask), 0, true
	case code == msgpcode.Map16:
		return 0, 2, true
	case code == msgpcode.Map32:
		return 0, 4, true
	default:
		return 0, 0, false
	}
}

// scannedType returns the type whose structure a value is checked against: the type that
// a pointer points to, and nil, which accepts any value, for a type that decodes itself.
func scannedType(target reflect.Type) reflect.Type {
	for target != nil && target.Kind() == reflect.Pointer {
		target = target.Elem()
	}
	if target == nil || target.Kind() == reflect.Interface || decodesItself(target) {
		return nil
	}
	return target
}

// scannedTypeOfNil is scannedType for a nil, which is a valid pointer.
func scannedTypeOfNil(target reflect.Type) reflect.Type {
	if target != nil && target.Kind() == reflect.Pointer {
		return nil
	}
	return scannedType(target)
}

func elementType(target reflect.Type) reflect.Type {
	if target == nil || (target.Kind() != reflect.Slice && target.Kind() != reflect.Array) {
		return nil
	}
	return target.Elem()
}

func isInteger(target reflect.Type) bool {
	return target != nil && target.Kind() >= reflect.Int && target.Kind() <= reflect.Uintptr
}

// The interfaces of types that the decoder does not decode field by field.
var selfDecoders = []reflect.Type{
	reflect.TypeFor[msgpack.CustomDecoder](), reflect.TypeFor[msgpack.Unmarshaler](),
	reflect.TypeFor[encoding.BinaryUnmarshaler](), reflect.TypeFor[encoding.TextUnmarshaler](),
}

// decodesItself reports whether a type implements one of selfDecoders. The answer is kept
// for each type.
func decodesItself(target reflect.Type) bool {
	if known, ok := selfDecoding.Load(target); ok {
		return known.(bool)
	}
	itself := false
	for _, decoder := range selfDecoders {
		itself = itself || target.Implements(decoder) || reflect.PointerTo(target).Implements(decoder)
	}
	selfDecoding.Store(target, itself)
	return itself
}

// selfDecoding and structFields are caches by type. Their sizes are bounded by the number
// of message types.
var selfDecoding, structFields sync.Map

// fieldTypes returns the types of a struct's encoded fields, in order.
func fieldTypes(target reflect.Type) []reflect.Type {
	if known, ok := structFields.Load(target); ok {
		return known.([]reflect.Type)
	}
	var fields []reflect.Type
	for _, field := range reflect.VisibleFields(target) {
		inlined := field.Anonymous && field.Type.Kind() == reflect.Struct && !decodesItself(field.Type)
		if !field.IsExported() || inlined || field.Tag.Get("msgpack") == "-" {
			continue
		}
		fields = append(fields, field.Type)
	}
	structFields.Store(target, fields)
	return fields
}
