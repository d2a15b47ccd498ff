package load

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A repeat may come while its first request's outcome is still being recorded. It
// is refused as in progress, which is not an unknown outcome.
func TestRepeatThatMeetsARunningRequestIsRefused(t *testing.T) {
	results := map[string]Result{"": ResultWrong, "first": ResultAlreadyRun}
	for first, expected := range results {
		e := exchange{kind: KindBooking, first: first}
		result, err := e.checkRefusal(&http.Response{
			StatusCode: http.StatusConflict, Header: http.Header{OutcomeHeader: {OutcomeInProgress}},
			Body: io.NopCloser(strings.NewReader("in-progress")),
		})
		require.Error(t, err)
		require.Equal(t, expected, result)
	}
}
