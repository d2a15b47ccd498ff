package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/strictjson"
)

// fileError names the file that an error is about.
type fileError struct {
	file string
	err  error
}

// Error implements error.
func (e *fileError) Error() string {
	var lines []string
	for _, problem := range e.problems() {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the error that is about the file.
func (e *fileError) Unwrap() []error { return []error{errInvalid, e.err} }

// filedProblem is one fault of a file.
type filedProblem struct {
	File    string `json:"file"`
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// String returns the problem as one line.
func (p filedProblem) String() string {
	if p.Allowed == "" {
		return p.File + ": " + p.Value
	}
	return p.File + ": " + strictjson.Problem{Path: p.Path, Value: p.Value, Allowed: p.Allowed}.String()
}

func (e *fileError) problems() []filedProblem {
	var found *strictjson.Problems
	if !errors.As(e.err, &found) {
		return []filedProblem{{File: e.file, Value: e.err.Error()}}
	}
	var list []filedProblem
	for _, problem := range found.List {
		list = append(list, filedProblem{e.file, problem.Path, problem.Value, problem.Allowed})
	}
	if found.More > 0 {
		list = append(list, filedProblem{File: e.file, Value: fmt.Sprintf("and %d more problems", found.More)})
	}
	return list
}

// file is one of the operators' files.
type file struct {
	name    string
	content plan.Content
}

// readFiles reads and checks files that each hold another list.
func readFiles(names []string) ([]file, error) {
	if len(names) == 0 {
		return nil, kernel.Usage(Error.New("a FILE is needed"))
	}
	var files []file
	var faults []error
	for _, name := range names {
		content, err := readFile(name)
		if err != nil {
			faults = append(faults, &fileError{name, err})
			continue
		}
		for _, other := range files {
			if other.content.Kind() == content.Kind() {
				faults = append(faults, &fileError{name, errs.New("holds the list of %s, as %s does", content.Kind(), other.name)})
			}
		}
		files = append(files, file{name, content})
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	return files, checkTogether(files)
}

func readFile(name string) (plan.Content, error) {
	opened, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer opened.Close()
	body, err := io.ReadAll(io.LimitReader(opened, plan.MaxContentSize+1))
	if err != nil {
		return nil, err
	}
	kind, err := kindOf(body)
	if err != nil {
		return nil, err
	}
	content, err := plan.DecodeContent(kind, body)
	if err != nil {
		return nil, err
	}
	_, err = plan.EncodeContent(content)
	return content, err
}

// kindOf tells which list a file holds by its fields.
func kindOf(body []byte) (model.DocumentKind, error) {
	if len(body) > plan.MaxContentSize {
		return 0, errs.New("is larger than %d bytes", plan.MaxContentSize)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return 0, errs.New("is not a JSON object: %w", err)
	}
	for field, kind := range map[string]model.DocumentKind{
		"customers": model.DocumentCustomers, "plans": model.DocumentPlans, "zones": model.DocumentOutOfService,
	} {
		if _, found := fields[field]; found {
			return kind, nil
		}
	}
	return 0, errs.New(`is no list: it has none of the fields "customers", "plans" and "zones"`)
}

// checkTogether checks that the customers' plans exist, if both lists are there.
func checkTogether(files []file) error {
	var customers, plans *file
	for i := range files {
		switch files[i].content.Kind() {
		case model.DocumentCustomers:
			customers = &files[i]
		case model.DocumentPlans:
			plans = &files[i]
		}
	}
	if customers == nil || plans == nil {
		return nil
	}
	err := plan.CheckReferences(customers.content.(plan.Customers), plans.content.(plan.Plans))
	if err != nil {
		return &fileError{customers.name, err}
	}
	return nil
}

func contentsOf(files []file) []plan.Content {
	var contents []plan.Content
	for _, f := range files {
		contents = append(contents, f.content)
	}
	return contents
}

// linted is what lint says of a good file.
type linted struct {
	File     string `json:"file"`
	Document string `json:"document"`
}

func (a *app) lint() *cli.Command {
	return verb("lint", "check files offline", "FILE...", func(_ context.Context, command *cli.Command) error {
		files, err := readFiles(command.Args().Slice())
		if err != nil {
			return err
		}
		var good []linted
		for _, f := range files {
			good = append(good, linted{f.name, f.content.Kind().String()})
		}
		return a.print(command, map[string][]linted{"files": good}, func(w io.Writer) {
			for _, f := range good {
				fmt.Fprintf(w, "%s: a good list of %s\n", f.File, f.Document)
			}
		})
	})
}
