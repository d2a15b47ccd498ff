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

// Bodies of this test are lists of the changes that took effect, which is what
// the oracle counts.
func appendLine(id platform.ChangeID) platform.Modify {
	return func(body []byte) ([]byte, error) {
		return append(slices.Clone(body), []byte(string(id)+"\n")...), nil
	}
}

func calm(string) memstore.Fault { return memstore.None }

func lines(t require.TestingT, store *memstore.Store) []string {
	entry, err := store.View(calm).Get(context.Background(), updateKey)
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

// Every change takes effect exactly once when Update says so, never when it
// says that it did not, and at most once when it can't tell; whatever answers
// are lost or late and however many writers race in between.
func TestUpdateAgainstOracle(t *testing.T) {
	ctx := context.Background()
	var told [3]int
	rapid.Check(t, func(t *rapid.T) {
		var store memstore.Store
		racers := 0
		race := func(n int) {
			for range n {
				racers++
				id := platform.ChangeID(fmt.Sprintf("racer-%d", racers))
				require.NoError(t, platform.Update(ctx, store.View(calm), updateKey, id, appendLine(id)))
			}
		}
		view := store.View(func(call string) memstore.Fault {
			if rapid.IntRange(0, 3).Draw(t, "flush") == 0 {
				store.Flush()
			}
			race(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 33}).Draw(t, "racers"))
			return rapid.SampledFrom([]memstore.Fault{memstore.None, memstore.None, memstore.None,
				memstore.Unavailable, memstore.Dropped, memstore.Lost, memstore.Delayed}).Draw(t, call)
		})
		outcomes := map[platform.ChangeID]error{}
		for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
			id := platform.ChangeID(fmt.Sprintf("change-%d", i))
			outcomes[id] = platform.Update(ctx, view, updateKey, id, appendLine(id))
		}
		store.Flush()
		found := lines(t, &store)
		for id, err := range outcomes {
			switch n := count(found, id); {
			case err == nil:
				told[0]++
				require.Equal(t, 1, n, "%s was said to have taken effect", id)
			case errors.Is(err, platform.ErrUnknownOutcome):
				told[1]++
				require.LessOrEqual(t, n, 1, "%s", id)
			default:
				told[2]++
				require.Zero(t, n, "%s was said to have had no effect: %v", id, err)
			}
		}
		for n := range racers {
			require.Equal(t, 1, count(found, platform.ChangeID(fmt.Sprintf("racer-%d", n+1))))
		}
	})
	t.Logf("took effect %d, unknown %d, no effect %d", told[0], told[1], told[2])
	require.NotZero(t, told[0])
	require.NotZero(t, told[1])
	require.NotZero(t, told[2])
}

func TestUpdateSettlesALostAnswer(t *testing.T) {
	ctx := context.Background()
	var store memstore.Store
	puts := 0
	view := store.View(func(call string) memstore.Fault {
		if call != "put" {
			return memstore.None
		}
		puts++
		return memstore.Lost
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
