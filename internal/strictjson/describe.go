package strictjson

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"

	reflection "github.com/invopop/jsonschema"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Field describes one field of a document for a reference page.
type Field struct {
	// Path names the field, with [] for each element of an array.
	Path     string
	Allowed  string
	Required bool
	// Help is the doc comment of the Go field.
	Help string
}

// Comments holds the doc comments of Go types and their fields.
type Comments map[string]string

// ReadComments reads the doc comments of all packages under a folder, which is
// relative to the working directory; base is the import path of that directory.
func ReadComments(base, folder string) (Comments, error) {
	reader := &reflection.Reflector{}
	err := reader.AddGoComments(base, folder, reflection.WithFullComment())
	return reader.CommentMap, Error.Wrap(err)
}

// Describe lists the fields of documents of type T in the order of the struct.
func Describe[T any](comments Comments) ([]Field, error) {
	reflector := reflector()
	reflector.CommentMap = comments
	return describeObject("", reflector.ReflectFromType(reflect.TypeFor[T]()))
}

func describeObject(path string, object *reflection.Schema) ([]Field, error) {
	if object.Properties == nil {
		return nil, nil
	}
	var fields []Field
	for pair := object.Properties.Oldest(); pair != nil; pair = pair.Next() {
		field := Field{
			Path:     Join(path, pair.Key),
			Required: slices.Contains(object.Required, pair.Key),
			Help:     pair.Value.Description,
		}
		described, err := describeField(field, pair.Value)
		if err != nil {
			return nil, err
		}
		fields = append(fields, described...)
	}
	return fields, nil
}

// describeField lists a field and, for objects and arrays of them, its parts.
func describeField(field Field, schema *reflection.Schema) ([]Field, error) {
	rules, err := rulesOf(schema)
	if err != nil {
		return nil, err
	}
	field.Allowed = describe(rules)
	parts, path := schema, field.Path
	if schema.Items != nil {
		element, err := rulesOf(schema.Items)
		if err != nil {
			return nil, err
		}
		field.Allowed += ", each " + describe(element)
		parts, path = schema.Items, field.Path+"[]"
	}
	below, err := describeObject(path, parts)
	return append([]Field{field}, below...), err
}

func rulesOf(schema *reflection.Schema) (map[string]any, error) {
	text, err := json.Marshal(schema)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	rules, _ := document.(map[string]any)
	return rules, Error.Wrap(err)
}
