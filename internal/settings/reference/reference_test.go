package reference_test

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/settings/reference"
)

var update = flag.Bool("update", false, "regenerate the page")

const page = "docs/settings.md"

// The page is generated from the doc comments of the settings. A change of these must not
// leave the page out of date.
func TestPageIsCurrent(t *testing.T) {
	t.Chdir("../../..")
	want, err := reference.Markdown()
	require.NoError(t, err)
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(want), 0o644))
	}
	got, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, want, string(got), "run this test with -update")
}
