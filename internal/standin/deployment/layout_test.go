package deployment

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// The settings files in examples/ must equal what Write generates. They go stale
// when the settings or a Shape change and the examples are not written again.
func TestExampleSettingsAreCurrent(t *testing.T) {
	for name, shape := range Shapes() {
		folder := t.TempDir()
		_, err := Write(shape, AddressPlan{Octet: defaultOctet}, folder)
		require.NoError(t, err)
		examples, err := filepath.Glob(filepath.Join("../../../examples", name, "settings", "*.json"))
		require.NoError(t, err)
		require.NotEmpty(t, examples)
		for _, example := range examples {
			want, err := os.ReadFile(filepath.Join(folder, filepath.Base(example)))
			require.NoError(t, err)
			got, err := os.ReadFile(example)
			require.NoError(t, err)
			require.Equal(t, string(want), string(got), example)
		}
	}
}
