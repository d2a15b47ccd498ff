package strictjson

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// printer renders the validator's own messages in English.
var printer = message.NewPrinter(language.English)

// validate adds the violations of the schema to problems, sorted by path.
func (s *schema) validate(path string, document any, problems *Problems) {
	err := s.compiled.Validate(document)
	if err == nil {
		return
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		problems.Add(Problem{Path: path, Value: err.Error(), Allowed: "a valid document"})
		return
	}
	found := s.collectProblems(path, document, invalid)
	slices.SortStableFunc(found, func(a, b Problem) int { return cmp.Compare(a.Path, b.Path) })
	for _, problem := range found {
		problems.Add(problem)
	}
}

// collectProblems returns the problems of a validation error, which is a tree: its
// leaves are the violations.
func (s *schema) collectProblems(path string, document any, e *jsonschema.ValidationError) []Problem {
	if len(e.Causes) == 0 {
		return s.toProblems(path, document, e)
	}
	var found []Problem
	for _, cause := range e.Causes {
		found = append(found, s.collectProblems(path, document, cause)...)
	}
	return found
}

func (s *schema) toProblems(path string, document any, e *jsonschema.ValidationError) []Problem {
	fieldPath, value := locate(path, document, e.InstanceLocation)
	subschema, _ := s.subschemaAt(e.SchemaURL).(map[string]any)
	switch violation := e.ErrorKind.(type) {
	case *kind.Required:
		return missingProblems(fieldPath, subschema, violation.Missing)
	case *kind.AdditionalProperties:
		return unknownProblems(fieldPath, value, subschema, violation.Properties)
	default:
		return []Problem{{Path: fieldPath, Value: renderJSON(value), Allowed: describeAllowed(subschema, e.ErrorKind)}}
	}
}

// missingProblems returns a problem for each required field that is missing.
func missingProblems(path string, subschema map[string]any, names []string) []Problem {
	properties, _ := subschema["properties"].(map[string]any)
	var found []Problem
	for _, name := range names {
		property, _ := properties[name].(map[string]any)
		found = append(found, Problem{Path: JoinPath(path, name), Value: "missing", Allowed: describeSchema(property)})
	}
	return found
}

// unknownProblems returns a problem for each field that the schema does not have.
func unknownProblems(path string, value any, subschema map[string]any, names []string) []Problem {
	properties, _ := subschema["properties"].(map[string]any)
	var known []string
	for name := range properties {
		known = append(known, name)
	}
	slices.Sort(known)
	object, _ := value.(map[string]any)
	var found []Problem
	for _, name := range names {
		found = append(found, Problem{
			Path:    JoinPath(path, name),
			Value:   "unknown field with value " + renderJSON(object[name]),
			Allowed: "the fields " + strings.Join(known, ", "),
		})
	}
	return found
}

// describeAllowed returns an English description of the values that a subschema
// allows, as far as it concerns the violated keyword.
func describeAllowed(subschema map[string]any, violation jsonschema.ErrorKind) string {
	switch violation := violation.(type) {
	case *kind.Type:
		return describeSchema(subschema)
	case *kind.Format:
		if text, known := allowedByFormat[violation.Want]; known {
			return text
		}
		return "the format " + violation.Want
	case *kind.Minimum, *kind.Maximum, *kind.ExclusiveMinimum, *kind.ExclusiveMaximum, *kind.Enum:
		return describeSchema(subschema)
	default:
		return violation.LocalizedString(printer)
	}
}

// describeSchema returns an English description of the values that a subschema
// allows.
func describeSchema(subschema map[string]any) string {
	words := []string{describeType(subschema)}
	for _, limit := range limitKeywords {
		if bound, set := subschema[limit.keyword]; set {
			words = append(words, fmt.Sprintf("%s %v", limit.words, bound))
		}
	}
	if choices, set := subschema["enum"].([]any); set {
		words = append(words, fmt.Sprintf("one of %v", choices))
	}
	return strings.Join(words, ", ")
}

// limitKeywords are the keywords that bound a value, and the words for them, in the
// order in which they are listed.
var limitKeywords = []struct{ keyword, words string }{
	{"minimum", "at least"},
	{"exclusiveMinimum", "more than"},
	{"maximum", "at most"},
	{"exclusiveMaximum", "less than"},
	{"minLength", "length at least"},
	{"maxLength", "length at most"},
	{"minItems", "elements at least"},
	{"maxItems", "elements at most"},
	{"pattern", "of the form"},
}

// allowedByType describes the types of JSON schema in English.
var allowedByType = map[string]string{
	"string":  "a string",
	"number":  "a number",
	"integer": "a whole number",
	"boolean": "true or false",
	"object":  "an object",
	"array":   "an array",
}

func describeType(subschema map[string]any) string {
	if format, set := subschema["format"].(string); set {
		if words, known := allowedByFormat[format]; known {
			return words
		}
	}
	if name, set := subschema["type"].(string); set {
		return allowedByType[name]
	}
	return "any JSON value"
}

// subschemaAt returns the subschema that the URL of a validation error points to,
// or nil if there is none.
func (s *schema) subschemaAt(url string) any {
	_, pointer, _ := strings.Cut(url, "#")
	node := s.document
	for _, step := range strings.Split(strings.TrimPrefix(pointer, "/"), "/") {
		if step == "" {
			continue
		}
		node = child(node, unescape(step))
	}
	return node
}

// unescape decodes one step of a JSON pointer.
func unescape(step string) string {
	return strings.NewReplacer("~1", "/", "~0", "~").Replace(step)
}

// locate follows steps from the root of a document, whose path is path. It returns
// the path and the value of the place that they lead to.
func locate(path string, document any, steps []string) (string, any) {
	node := document
	for _, step := range steps {
		if _, isArray := node.([]any); isArray {
			path += "[" + step + "]"
		} else {
			path = JoinPath(path, step)
		}
		node = child(node, step)
	}
	return path, node
}

// child returns a field of an object or an element of an array, or nil if there is
// none.
func child(node any, step string) any {
	switch node := node.(type) {
	case map[string]any:
		return node[step]
	case []any:
		index, err := strconv.Atoi(step)
		if err != nil || index < 0 || index >= len(node) {
			return nil
		}
		return node[index]
	default:
		return nil
	}
}

func renderJSON(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}
