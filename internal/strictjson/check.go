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
	rules, _ := s.rulesAt(e.SchemaURL).(map[string]any)
	switch fault := e.ErrorKind.(type) {
	case *kind.Required:
		return missingProblems(fieldPath, rules, fault.Missing)
	case *kind.AdditionalProperties:
		return unknownProblems(fieldPath, value, rules, fault.Properties)
	default:
		return []Problem{{Path: fieldPath, Value: renderJSON(value), Allowed: describeAllowed(rules, e.ErrorKind)}}
	}
}

func missingProblems(path string, rules map[string]any, names []string) []Problem {
	properties, _ := rules["properties"].(map[string]any)
	var found []Problem
	for _, name := range names {
		property, _ := properties[name].(map[string]any)
		found = append(found, Problem{Path: Join(path, name), Value: "missing", Allowed: describeRules(property)})
	}
	return found
}

func unknownProblems(path string, value any, rules map[string]any, names []string) []Problem {
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
			Value:   "unknown field with value " + renderJSON(object[name]),
			Allowed: "the fields " + strings.Join(known, ", "),
		})
	}
	return found
}

// describeAllowed returns an English description of the values that rules
// allow, given the violation.
func describeAllowed(rules map[string]any, fault jsonschema.ErrorKind) string {
	switch fault := fault.(type) {
	case *kind.Type:
		return describeRules(rules)
	case *kind.Format:
		if text, known := allowedByFormat[fault.Want]; known {
			return text
		}
		return "the format " + fault.Want
	case *kind.Minimum, *kind.Maximum, *kind.ExclusiveMinimum, *kind.ExclusiveMaximum, *kind.Enum:
		return describeRules(rules)
	default:
		return fault.LocalizedString(printer)
	}
}

// describeRules returns an English description of the values that a subschema
// allows.
func describeRules(rules map[string]any) string {
	words := []string{describeType(rules)}
	for _, limit := range limitKeywords {
		if bound, set := rules[limit.keyword]; set {
			words = append(words, fmt.Sprintf("%s %v", limit.words, bound))
		}
	}
	if choices, set := rules["enum"].([]any); set {
		words = append(words, fmt.Sprintf("one of %v", choices))
	}
	return strings.Join(words, ", ")
}

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

func describeType(rules map[string]any) string {
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

// rulesAt returns the subschema that the URL of a validation error points to.
func (s *schema) rulesAt(url string) any {
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

func unescape(step string) string {
	return strings.NewReplacer("~1", "/", "~0", "~").Replace(step)
}

func locate(path string, document any, steps []string) (string, any) {
	node := document
	for _, step := range steps {
		if _, isArray := node.([]any); isArray {
			path += "[" + step + "]"
		} else {
			path = Join(path, step)
		}
		node = child(node, step)
	}
	return path, node
}

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
