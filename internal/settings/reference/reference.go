// Package reference generates the page docs/settings.md from the settings
// structs and their doc comments.
package reference

import (
	"fmt"
	"maps"
	"strings"

	"github.com/balsamlink/balsamlink/internal/fabric/proxyv2"
	"github.com/balsamlink/balsamlink/internal/packetnode"
	"github.com/balsamlink/balsamlink/internal/platform/httpkv"
	"github.com/balsamlink/balsamlink/internal/settings"
	"github.com/balsamlink/balsamlink/internal/strictjson"
	"github.com/balsamlink/balsamlink/internal/target/http1"
	"github.com/balsamlink/balsamlink/platform"
)

// module is the path of the Go module.
const module = "github.com/balsamlink/balsamlink"

const introduction = `# Settings

This page is generated from the structs; ` + "`go test ./internal/settings/reference -update`" + ` regenerates it.

Each process reads one JSON file, named by ` + "`--settings FILE`" + `. ` + "`--check-settings`" + ` checks the file and exits with
code 0, or with code 2 and a list of all problems: the path, the value and what is allowed. Unknown, repeated and
wrongly typed fields are rejected. Relative file names are relative to the folder of the settings file. Secrets are
kept in files of their own, never in settings.
`

// section documents one settings struct.
type section struct {
	title  string
	fields []strictjson.Field
}

// Markdown returns the contents of the page. The working directory must be the
// root of the source tree.
func Markdown() (string, error) {
	comments, err := strictjson.ReadComments(module, "./internal")
	if err != nil {
		return "", err
	}
	platformComments, err := strictjson.ReadComments(module, "./platform")
	if err != nil {
		return "", err
	}
	maps.Copy(comments, platformComments)
	var page strings.Builder
	page.WriteString(introduction)
	for _, describe := range []func(strictjson.Comments) (section, error){
		sectionOf[settings.Balancer]("balsamlb"),
		sectionOf[settings.Agent]("balsamagent"),
		sectionOf[settings.Operator]("balsamctl"),
		sectionOf[httpkv.Settings]("Platform plug-in \"httpkv\""),
		sectionOf[proxyv2.Settings]("Fabric plug-in \"proxyv2\""),
		sectionOf[http1.Settings]("Target plug-in \"http1\""),
		sectionOf[packetnode.Settings]("balsampktlb and balsampktagent (the latter has a target)"),
		sectionOf[platform.Settings]("Underlay plug-in \"kvhttp\""),
	} {
		section, err := describe(comments)
		if err != nil {
			return "", err
		}
		section.write(&page)
	}
	return page.String(), nil
}

// sectionOf returns a function that describes the settings struct T, given the
// doc comments of the source tree.
func sectionOf[T any](title string) func(strictjson.Comments) (section, error) {
	return func(comments strictjson.Comments) (section, error) {
		fields, err := strictjson.Describe[T](comments)
		return section{title: title, fields: fields}, err
	}
}

func (s section) write(page *strings.Builder) {
	fmt.Fprintf(page, "\n## %s\n\n| field | needed | allowed | meaning |\n|---|---|---|---|\n", s.title)
	for _, field := range s.fields {
		needed := "no"
		if field.Required {
			needed = "yes"
		}
		fmt.Fprintf(page, "| `%s` | %s | %s | %s |\n", field.Path, needed, cell(field.Allowed), cell(field.Help))
	}
}

// cell returns the text as a cell of a Markdown table.
func cell(text string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", "\\|")
}
