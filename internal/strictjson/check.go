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

var printer = message.NewPrinter(language.English)

// check adds what the schema refuses in a document to the problems.
func (s *schema) check(path string, document any, problems *Problems) {
	err := s.compiled.Validate(document)
	if err == nil {
		return
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		problems.Add(Problem{Path: path, Value: err.Error(), Allowed: "a valid document"})
		return
	}
	found := s.collect(path, document, invalid)
	slices.SortStableFunc(found, func(a, b Problem) int { return cmp.Compare(a.Path, b.Path) })
	for _, problem := range found {
		problems.Add(problem)
	}
}

func (s *schema) collect(path string, document any, e *jsonschema.ValidationError) []Problem {
	if len(e.Causes) == 0 {
		return s.translate(path, document, e)
	}
	var found []Problem
	for _, cause := range e.Causes {
		found = append(found, s.collect(path, document, cause)...)
	}
	return found
}

func (s *schema) translate(path string, document any, e *jsonschema.ValidationError) []Problem {
	where, value := locate(path, document, e.InstanceLocation)
	rules, _ := s.rules(e.SchemaURL).(map[string]any)
	switch fault := e.ErrorKind.(type) {
	case *kind.Required:
		return missing(where, rules, fault.Missing)
	case *kind.AdditionalProperties:
		return unknown(where, value, rules, fault.Properties)
	default:
		return []Problem{{Path: where, Value: render(value), Allowed: allowed(rules, e.ErrorKind)}}
	}
}

func missing(path string, rules map[string]any, names []string) []Problem {
	properties, _ := rules["properties"].(map[string]any)
	var found []Problem
	for _, name := range names {
		property, _ := properties[name].(map[string]any)
		found = append(found, Problem{Path: Join(path, name), Value: "missing", Allowed: describe(property)})
	}
	return found
}

func unknown(path string, value any, rules map[string]any, names []string) []Problem {
	properties, _ := rules["properties"].(map[string]any)
	var known []string
	for name := range properties {
		known = append(known, name)
	}
	slices.Sort(known)
	object, _ := value.(map[string]any)
	var found []Problem
	for _, name := range names {
		found = append(found, Problem{
			Path:    Join(path, name),
			Value:   "unknown field with value " + render(object[name]),
			Allowed: "the fields " + strings.Join(known, ", "),
		})
	}
	return found
}

// allowed tells what the schema allows at a place, in plain words.
func allowed(rules map[string]any, fault jsonschema.ErrorKind) string {
	switch fault := fault.(type) {
	case *kind.Type:
		return describe(rules)
	case *kind.Format:
		if text, known := allowedByFormat[fault.Want]; known {
			return text
		}
		return "the format " + fault.Want
	case *kind.Minimum, *kind.Maximum, *kind.ExclusiveMinimum, *kind.ExclusiveMaximum, *kind.Enum:
		return describe(rules)
	default:
		return fault.LocalizedString(printer)
	}
}

// describe tells what a part of the schema allows, in plain words.
func describe(rules map[string]any) string {
	words := []string{typeWords(rules)}
	for _, limit := range limitWords {
		if bound, set := rules[limit.keyword]; set {
			words = append(words, fmt.Sprintf("%s %v", limit.words, bound))
		}
	}
	if choices, set := rules["enum"].([]any); set {
		words = append(words, fmt.Sprintf("one of %v", choices))
	}
	return strings.Join(words, ", ")
}

var limitWords = []struct{ keyword, words string }{
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

// allowedByType tells people what a type of JSON schema allows.
var allowedByType = map[string]string{
	"string":  "a string",
	"number":  "a number",
	"integer": "a whole number",
	"boolean": "true or false",
	"object":  "an object",
	"array":   "an array",
}

func typeWords(rules map[string]any) string {
	if format, set := rules["format"].(string); set {
		if words, known := allowedByFormat[format]; known {
			return words
		}
	}
	if name, set := rules["type"].(string); set {
		return allowedByType[name]
	}
	return "any JSON value"
}

// rules returns the part of the schema that a validation error points to.
func (s *schema) rules(url string) any {
	_, pointer, _ := strings.Cut(url, "#")
	place := s.document
	for _, step := range strings.Split(strings.TrimPrefix(pointer, "/"), "/") {
		if step == "" {
			continue
		}
		place = child(place, unescape(step))
	}
	return place
}

func unescape(step string) string {
	return strings.NewReplacer("~1", "/", "~0", "~").Replace(step)
}

func locate(path string, document any, steps []string) (string, any) {
	place := document
	for _, step := range steps {
		if _, isArray := place.([]any); isArray {
			path += "[" + step + "]"
		} else {
			path = Join(path, step)
		}
		place = child(place, step)
	}
	return path, place
}

func child(place any, step string) any {
	switch place := place.(type) {
	case map[string]any:
		return place[step]
	case []any:
		index, err := strconv.Atoi(step)
		if err != nil || index < 0 || index >= len(place) {
			return nil
		}
		return place[index]
	default:
		return nil
	}
}

func render(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}
