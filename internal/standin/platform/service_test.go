package platform_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/balsamlink/balsamlink/internal/platform/kvproto"
	standin "github.com/balsamlink/balsamlink/internal/standin/platform"
)

// statuses sends calls one after another and counts the responses by status. In a
// synctest bubble all of them happen at the same instant.
func statuses(service *standin.Service, method string, calls int) map[int]int {
	counted := map[int]int{}
	for range calls {
		response := httptest.NewRecorder()
		request := httptest.NewRequest(method, kvproto.PathEntry+"?key=k", nil)
		request.Header.Set("If-Match", kvproto.FormatETag(1))
		service.ServeHTTP(response, request)
		counted[response.Code]++
	}
	return counted
}

// In each second, exactly the documented numbers of writes and reads run, and the
// calls beyond them get status 429.
func TestRateLimitsHoldInEachSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.New()
		for range 3 {
			require.Equal(t, map[int]int{http.StatusNotFound: standin.WritesPerSecond, http.StatusTooManyRequests: 7},
				statuses(service, http.MethodDelete, standin.WritesPerSecond+7))
			require.Equal(t, map[int]int{http.StatusNotFound: standin.ReadsPerSecond, http.StatusTooManyRequests: 7},
				statuses(service, http.MethodGet, standin.ReadsPerSecond+7))
			time.Sleep(time.Second)
		}
		require.EqualValues(t, 42, service.Calls().OverRate)
	})
}

// Calls under ever new caller names must not let the counters grow without bound: those
// of all names but the first 8192 are counted together as "other".
func TestCountedCallersAreBounded(t *testing.T) {
	service := standin.New()
	for i := range 9000 {
		request := httptest.NewRequest(http.MethodGet, kvproto.PathEntry+"?key=k", nil)
		request.Header.Set(kvproto.HeaderCaller, fmt.Sprint(i))
		service.ServeHTTP(httptest.NewRecorder(), request)
	}
	calls := service.Calls()
	require.Len(t, calls.ByCaller, 8193)
	require.EqualValues(t, 9000-8192, calls.ByCaller["other"])
	require.EqualValues(t, 9000, calls.ByKind["get"])
}
