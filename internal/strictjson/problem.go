package strictjson

import (
	"fmt"
	"strings"
)

// MaxProblems is the largest number of problems that one error lists. The rest
// are counted.
const MaxProblems = 200

const maxValueLength = 80

// Problem is one fault of a document.
type Problem struct {
	// Path names the offending field, as in "services[2].address".
	Path string
	// Value is the offending value as it stands in the document, cut short when
	// it is long.
	Value string
	// Allowed says what may stand there.
	Allowed string
}

// String returns the problem as one line.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "document"
	}
	return fmt.Sprintf("%s: %s; allowed: %s", path, p.Value, p.Allowed)
}

// Problems is the error that lists the faults of a document in the order of
// their paths.
type Problems struct {
	List []Problem
	// More is the number of problems that are not listed.
	More int
}

// Error implements error.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List)+1)
	for _, problem := range p.List {
		lines = append(lines, problem.String())
	}
	if p.More > 0 {
		lines = append(lines, fmt.Sprintf("and %d more problems", p.More))
	}
	return strings.Join(lines, "\n")
}

// Add lists one more problem.
func (p *Problems) Add(problem Problem) {
	if len(p.List) >= MaxProblems {
		p.More++
		return
	}
	problem.Value = shorten(problem.Value)
	p.List = append(p.List, problem)
}

// Err returns the problems as an error, or nil when there are none.
func (p *Problems) Err() error {
	if len(p.List) == 0 {
		return nil
	}
	return Error.Wrap(p)
}

// Join appends the name of a field to a path.
func Join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Index appends the index of an array element to a path.
func Index(path string, index int) string {
	return fmt.Sprintf("%s[%d]", path, index)
}

func shorten(value string) string {
	value = strings.ToValidUTF8(value, "?")
	if len(value) <= maxValueLength {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueLength], "") + "..."
}
