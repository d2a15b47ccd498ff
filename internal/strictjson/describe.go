package strictjson

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"

	schemagen "github.com/invopop/jsonschema"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Field describes one field of a document for a reference page.
type Field struct {
	// Path is the path of the field, with [] for the elements of an array.
	Path string
	// Allowed describes the allowed values in English.
	Allowed  string
	Required bool
	// Help is the doc comment of the Go field.
	Help string
}

// Comments maps Go types and their fields to their doc comments, under the keys
// of github.com/invopop/jsonschema.
type Comments map[string]string

// ReadComments reads the doc comments of all packages under folder, a path
// relative to the working directory; base is the import path of the working
// directory.
func ReadComments(base, folder string) (Comments, error) {
	reader := &schemagen.Reflector{}
	err := reader.AddGoComments(base, folder, schemagen.WithFullComment())
	return reader.CommentMap, Error.Wrap(err)
}

// Describe lists the fields of documents of type T, nested ones included, in the
// order of the struct.
func Describe[T any](comments Comments) ([]Field, error) {
	reflector := reflector()
	reflector.CommentMap = comments
	return describeObject("", reflector.ReflectFromType(reflect.TypeFor[T]()))
}

func describeObject(path string, object *schemagen.Schema) ([]Field, error) {
	if object.Properties == nil {
		return nil, nil
	}
	var fields []Field
	for pair := object.Properties.Oldest(); pair != nil; pair = pair.Next() {
		field := Field{
			Path:     JoinPath(path, pair.Key),
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

// describeField lists a field and the fields nested in it.
func describeField(field Field, schema *schemagen.Schema) ([]Field, error) {
	subschema, err := schemaMap(schema)
	if err != nil {
		return nil, err
	}
	field.Allowed = describeSchema(subschema)
	object, path := schema, field.Path
	if schema.Items != nil {
		element, err := schemaMap(schema.Items)
		if err != nil {
			return nil, err
		}
		field.Allowed += ", each " + describeSchema(element)
		object, path = schema.Items, field.Path+"[]"
	}
	nested, err := describeObject(path, object)
	return append([]Field{field}, nested...), err
}

// schemaMap converts a schema to its decoded JSON form.
func schemaMap(schema *schemagen.Schema) (map[string]any, error) {
	text, err := json.Marshal(schema)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	subschema, _ := document.(map[string]any)
	return subschema, Error.Wrap(err)
}
