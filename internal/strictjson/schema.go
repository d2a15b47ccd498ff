package strictjson

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"reflect"
	"strconv"
	"sync"

	schemagen "github.com/invopop/jsonschema"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/shopspring/decimal"
)

// schemaURL identifies the schema within the compiler; nothing is loaded from it.
const schemaURL = "mem:///schema.json"

// Schema returns the JSON schema, indented, that Decode validates documents of
// type T against.
func Schema[T any]() ([]byte, error) {
	document, err := reflector().ReflectFromType(reflect.TypeFor[T]()).MarshalJSON()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var indented bytes.Buffer
	err = json.Indent(&indented, document, "", "  ")
	return indented.Bytes(), Error.Wrap(err)
}

// schema is a compiled schema. Its JSON form serves to describe the allowed values
// in problems.
type schema struct {
	compiled *jsonschema.Schema
	document any
}

// schemas caches compiled schemas by reflect.Type.
var schemas sync.Map

// schemaOf returns the compiled schema of documents of type T.
func schemaOf[T any]() (*schema, error) {
	key := reflect.TypeFor[T]()
	if cached, ok := schemas.Load(key); ok {
		return cached.(*schema), nil
	}
	text, err := Schema[T]()
	if err != nil {
		return nil, err
	}
	compiled, err := compile(text)
	if err != nil {
		return nil, err
	}
	schemas.Store(key, compiled)
	return compiled, nil
}

func compile(text []byte) (*schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	compiler := jsonschema.NewCompiler()
	compiler.AssertFormat()
	for _, format := range formats {
		compiler.RegisterFormat(format)
	}
	if err := compiler.AddResource(schemaURL, document); err != nil {
		return nil, Error.Wrap(err)
	}
	compiled, err := compiler.Compile(schemaURL)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &schema{compiled: compiled, document: document}, nil
}

// reflector returns a generator of schemas. Nested types are written out in place
// instead of by reference, which is why recursive types are not supported.
func reflector() *schemagen.Reflector {
	return &schemagen.Reflector{
		Anonymous:      true,
		DoNotReference: true,
		ExpandedStruct: true,
		Mapper:         mapType,
	}
}

var (
	addrPortType = reflect.TypeFor[netip.AddrPort]()
	addrType     = reflect.TypeFor[netip.Addr]()
	prefixType   = reflect.TypeFor[netip.Prefix]()
	decimalType  = reflect.TypeFor[decimal.Decimal]()
)

// mapType returns the schema of types that the reflector would describe too
// loosely, and nil for all others.
func mapType(t reflect.Type) *schemagen.Schema {
	switch t {
	case addrPortType:
		return &schemagen.Schema{Type: "string", Format: formatAddrPort}
	case addrType:
		return &schemagen.Schema{Type: "string", Format: formatAddr}
	case prefixType:
		return &schemagen.Schema{Type: "string", Format: formatPrefix}
	case decimalType:
		return &schemagen.Schema{Format: formatDecimal, Extras: map[string]any{"type": []string{"string", "number"}}}
	}
	return mapKind(t.Kind())
}

func mapKind(kind reflect.Kind) *schemagen.Schema {
	switch kind {
	case reflect.Int, reflect.Int64:
		return integer(-1<<63, 1<<63-1)
	case reflect.Int8, reflect.Int16, reflect.Int32:
		half := int64(1) << (8*byteWidth(kind) - 1)
		return integer(-half, uint64(half-1))
	case reflect.Uint, reflect.Uint64:
		return integer(0, 1<<64-1)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32:
		return integer(0, 1<<(8*byteWidth(kind))-1)
	default:
		return nil
	}
}

func byteWidth(kind reflect.Kind) uint {
	switch kind {
	case reflect.Int8, reflect.Uint8:
		return 1
	case reflect.Int16, reflect.Uint16:
		return 2
	default:
		return 4
	}
}

func integer(minimum int64, maximum uint64) *schemagen.Schema {
	return &schemagen.Schema{
		Type:    "integer",
		Format:  formatInteger,
		Minimum: json.Number(strconv.FormatInt(minimum, 10)),
		Maximum: json.Number(strconv.FormatUint(maximum, 10)),
	}
}
