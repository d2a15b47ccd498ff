package strictjson

import (
	"fmt"
	"strings"
)

// MaxProblems is the maximum number of problems that one error lists. Further
// ones are only counted.
const MaxProblems = 200

// maxValueLength is the length in bytes at which values in problems are truncated.
const maxValueLength = 80

// Problem is one error in a document.
type Problem struct {
	// Path is the path of the invalid field, such as "services[2].address".
	Path string
	// Value is the invalid value as written in the document, truncated when it is
	// long, or a description of the problem.
	Value string
	// Allowed describes the allowed values in English.
	Allowed string
}

// String returns the problem as one line, "PATH: VALUE; allowed: ALLOWED".
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "document"
	}
	return fmt.Sprintf("%s: %s; allowed: %s", path, p.Value, p.Allowed)
}

// Problems is the error that lists the problems of a document: first those of
// its syntax in document order, then those of its contents sorted by path.
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

// Add appends a problem, or only counts it when MaxProblems are listed already.
func (p *Problems) Add(problem Problem) {
	if len(p.List) >= MaxProblems {
		p.More++
		return
	}
	problem.Value = shorten(problem.Value)
	p.List = append(p.List, problem)
}

// Err returns the problems as an error of class Error, or nil when there are none.
func (p *Problems) Err() error {
	if len(p.List) == 0 {
		return nil
	}
	return Error.Wrap(p)
}

// JoinPath appends the name of a field to a path.
func JoinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// IndexPath appends the index of an array element to a path.
func IndexPath(path string, index int) string {
	return fmt.Sprintf("%s[%d]", path, index)
}

func shorten(value string) string {
	value = strings.ToValidUTF8(value, "?")
	if len(value) <= maxValueLength {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueLength], "") + "..."
}
