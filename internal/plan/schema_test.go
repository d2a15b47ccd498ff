package plan

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/model"
)

const root = "../.."

// The published schemas must be those that the programs validate the documents against.
// Setting UPDATE_SCHEMAS=1 rewrites the published files.
func TestPublishedSchemasAreCurrent(t *testing.T) {
	schemas, err := Schemas()
	require.NoError(t, err)
	require.Len(t, schemas, model.DocumentCount)
	for name, want := range schemas {
		path := filepath.Join(root, "schema", name)
		if os.Getenv("UPDATE_SCHEMAS") != "" {
			require.NoError(t, os.WriteFile(path, want, 0o644))
		}
		published, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Equal(t, string(want), string(published), "run UPDATE_SCHEMAS=1 go test ./internal/plan")
	}
}

// The example lists must stay valid when the validation changes.
func TestExamplesAreValidLists(t *testing.T) {
	for _, example := range []string{"endcap", "marmot"} {
		var lists Lists
		for kind, assign := range map[model.DocumentKind]func(Content){
			model.DocumentCustomers: func(c Content) { lists.Customers = c.(Customers) },
			model.DocumentPlans:     func(c Content) { lists.Plans = c.(Plans) },
		} {
			body, err := os.ReadFile(filepath.Join(root, "examples", example, kind.String()+".json"))
			require.NoError(t, err)
			content, err := DecodeContent(kind, body)
			require.NoError(t, err)
			assign(content)
		}
		require.NoError(t, CheckReferences(lists.Customers, lists.Plans))
	}
}
