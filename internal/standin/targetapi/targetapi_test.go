package targetapi

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// The load tool computes the expected body from the nonce that it sent. A body that
// depended on anything else would count as corrupted.
func TestBodyDependsOnTheNonceAlone(t *testing.T) {
	first, err := io.ReadAll(Body("a", 1000))
	require.NoError(t, err)
	repeated, _ := io.ReadAll(Body("a", 1000))
	other, _ := io.ReadAll(Body("b", 1000))
	require.Len(t, first, 1000)
	require.Equal(t, first, repeated)
	require.NotEqual(t, first, other)
}
