package platform_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/standin/memstore"
)

const updateKey = "counter"

// appendLine appends a change's ID to a body. In these tests a body lists the
// changes that took effect, for comparison with the oracle.
func appendLine(id platform.ChangeID) platform.Modify {
	return func(body []byte) ([]byte, error) {
		return append(slices.Clone(body), []byte(string(id)+"\n")...), nil
	}
}

func noFaults(string) memstore.Fault { return memstore.None }

func lines(t require.TestingT, store *memstore.Store) []string {
	entry, err := store.View(noFaults).Get(context.Background(), updateKey)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	require.NoError(t, err)
	tagged, err := platform.ParseTagged(entry.Value)
	require.NoError(t, err)
	return strings.Fields(string(tagged.Body))
}

func count(found []string, id platform.ChangeID) int {
	n := 0
	for _, line := range found {
		if line == string(id) {
			n++
		}
	}
	return n
}

// A change takes effect exactly once if Update returns nil, never if it returns
// a definite failure, and at most once if the outcome is unknown, even if
// responses are lost or late and other writers race.
func TestUpdateAgainstOracle(t *testing.T) {
	ctx := context.Background()
	// tally counts the changes that took effect, those of unknown outcome and
	// those without effect.
	var tally [3]int
	rapid.Check(t, func(t *rapid.T) {
		var store memstore.Store
		racers := 0
		race := func(n int) {
			for range n {
				racers++
				id := platform.ChangeID(fmt.Sprintf("racer-%d", racers))
				require.NoError(t, platform.Update(ctx, store.View(noFaults), updateKey, id, appendLine(id)))
			}
		}
		view := store.View(func(call string) memstore.Fault {
			if rapid.IntRange(0, 3).Draw(t, "flush") == 0 {
				store.ApplyDelayed()
			}
			// A value keeps the IDs of its last 32 changes: 33 racers displace all others.
			race(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 33}).Draw(t, "racers"))
			return rapid.SampledFrom([]memstore.Fault{memstore.None, memstore.None, memstore.None,
				memstore.Unavailable, memstore.RequestLost, memstore.ResponseLost, memstore.Delayed}).Draw(t, call)
		})
		outcomes := map[platform.ChangeID]error{}
		for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
			id := platform.ChangeID(fmt.Sprintf("change-%d", i))
			outcomes[id] = platform.Update(ctx, view, updateKey, id, appendLine(id))
		}
		store.ApplyDelayed()
		found := lines(t, &store)
		for id, err := range outcomes {
			switch n := count(found, id); {
			case err == nil:
				tally[0]++
				require.Equal(t, 1, n, "%s was reported to have taken effect", id)
			case errors.Is(err, platform.ErrUnknownOutcome):
				tally[1]++
				require.LessOrEqual(t, n, 1, "%s", id)
			default:
				tally[2]++
				require.Zero(t, n, "%s was reported to have had no effect: %v", id, err)
			}
		}
		for n := range racers {
			require.Equal(t, 1, count(found, platform.ChangeID(fmt.Sprintf("racer-%d", n+1))))
		}
	})
	t.Logf("took effect %d, unknown %d, no effect %d", tally[0], tally[1], tally[2])
	require.NotZero(t, tally[0])
	require.NotZero(t, tally[1])
	require.NotZero(t, tally[2])
}

// If the response to a write is lost, Update reads the value and finds that its
// change took effect, instead of writing it a second time.
func TestUpdateSettlesALostAnswer(t *testing.T) {
	ctx := context.Background()
	var store memstore.Store
	puts := 0
	view := store.View(func(call string) memstore.Fault {
		if call != "put" {
			return memstore.None
		}
		puts++
		return memstore.ResponseLost
	})
	require.NoError(t, platform.Update(ctx, view, updateKey, "a", appendLine("a")))
	require.NoError(t, platform.Update(ctx, view, updateKey, "a", appendLine("a")), "the same change again")
	require.Equal(t, 1, puts)
	require.Equal(t, []string{"a"}, lines(t, &store))

	refused := errors.New("refused")
	err := platform.Update(ctx, view, updateKey, "b", func([]byte) ([]byte, error) { return nil, refused })
	require.ErrorIs(t, err, refused)
	require.NotErrorIs(t, err, platform.ErrUnknownOutcome)
}
