package load

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A repeat may arrive while the outcome of its first request is still being
// recorded. The in-progress refusal then counts as already run, not as an unknown
// outcome. For a first request, which cannot be in progress, it is a wrong response.
func TestRepeatOfRequestInProgressIsRefused(t *testing.T) {
	results := map[string]Result{"": ResultWrong, "first": ResultAlreadyRun}
	for firstNonce, expected := range results {
		e := exchange{kind: KindBooking, firstNonce: firstNonce}
		result, err := e.classifyRefusal(&http.Response{
			StatusCode: http.StatusConflict, Header: http.Header{HeaderOutcome: {OutcomeInProgress}},
			Body: io.NopCloser(strings.NewReader("in-progress")),
		})
		require.Error(t, err)
		require.Equal(t, expected, result)
	}
}
