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

// fileError adds the name of the file to an error in it.
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

// Unwrap returns errInvalid and the error in the file.
func (e *fileError) Unwrap() []error { return []error{errInvalid, e.err} }

// fileProblem is one problem in a file.
type fileProblem struct {
	File    string `json:"file"`
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// String returns the problem as one line.
func (p fileProblem) String() string {
	if p.Allowed == "" {
		return p.File + ": " + p.Value
	}
	return p.File + ": " + strictjson.Problem{Path: p.Path, Value: p.Value, Allowed: p.Allowed}.String()
}

func (e *fileError) problems() []fileProblem {
	var found *strictjson.Problems
	if !errors.As(e.err, &found) {
		return []fileProblem{{File: e.file, Value: e.err.Error()}}
	}
	var list []fileProblem
	for _, problem := range found.List {
		list = append(list, fileProblem{e.file, problem.Path, problem.Value, problem.Allowed})
	}
	if found.More > 0 {
		list = append(list, fileProblem{File: e.file, Value: fmt.Sprintf("and %d more problems", found.More)})
	}
	return list
}

// file is one of the operators' files.
type file struct {
	name    string
	content plan.Content
}

// readFiles reads and checks files, each of which must hold a different list.
func readFiles(names []string) ([]file, error) {
	if len(names) == 0 {
		return nil, kernel.Usage(Error.New("at least one FILE is required"))
	}
	var files []file
	var failures []error
	for _, name := range names {
		content, err := readFile(name)
		if err != nil {
			failures = append(failures, &fileError{name, err})
			continue
		}
		for _, other := range files {
			if other.content.Kind() == content.Kind() {
				failures = append(failures, &fileError{name, errs.New("holds the list of %s, which %s holds too", content.Kind(), other.name)})
			}
		}
		files = append(files, file{name, content})
	}
	if err := errors.Join(failures...); err != nil {
		return nil, err
	}
	return files, checkReferences(files)
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

// kindOf determines from the fields of a file which list it holds.
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
	return 0, errs.New(`is not a list: it has none of the fields "customers", "plans" and "zones"`)
}

// checkReferences checks that the customers' plans exist, if both lists are given.
func checkReferences(files []file) error {
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

// lintResult is the output of lint for a valid file.
type lintResult struct {
	File     string `json:"file"`
	Document string `json:"document"`
}

func (a *app) lint() *cli.Command {
	return newCommand("lint", "check files offline", "FILE...", func(_ context.Context, command *cli.Command) error {
		files, err := readFiles(command.Args().Slice())
		if err != nil {
			return err
		}
		var valid []lintResult
		for _, f := range files {
			valid = append(valid, lintResult{f.name, f.content.Kind().String()})
		}
		return a.print(command, map[string][]lintResult{"files": valid}, func(w io.Writer) {
			for _, f := range valid {
				fmt.Fprintf(w, "%s: a valid list of %s\n", f.File, f.Document)
			}
		})
	})
}
