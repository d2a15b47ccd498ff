package plan

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
)

func TestDiffIsReadableForOperators(t *testing.T) {
	before := Customers{Customers: []Customer{{Name: "a", Plan: "p", CredentialSHA256: []string{hash("a")}}}}
	after := Customers{Customers: []Customer{{Name: "a", Plan: "q"}, {Name: "b", Plan: "p"}}}
	require.Equal(t, []string{
		"customer a: credential aaaaaaaaaaaa removed", "customer a: plan: p -> q", "customer b: plan: added p",
	}, Describe(Diff(before, after)))
	require.Equal(t, []string{"1", "and 2 more"}, Shorten([]string{"1", "2", "3"}, 2))
	out := Diff(OutOfService{Zones: []model.Zone{"z"}}, OutOfService{Targets: []model.NodeID{"t"}})
	require.Equal(t, []string{"target t: taken out of service", "zone z: returned to service"}, Describe(out))
}

func TestDiffIsEmptyExactlyForEqualContentsAndIsSymmetric(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.SampledFrom([]func(*rapid.T) Content{
			func(t *rapid.T) Content { return drawCustomers(t) },
			func(t *rapid.T) Content { return drawPlans(t) },
		}).Draw(t, "kind")
		a, b := draw(t), draw(t)
		forth, back := Diff(a, b), Diff(b, a)
		require.Equal(t, Equal(a, b), len(forth) == 0)
		for i := range back {
			back[i].Before, back[i].After = back[i].After, back[i].Before
		}
		require.Equal(t, forth, back)
	})
}

// Checks random combinations of added, removed and reassigned plans and
// customers: no step may leave a customer on a missing plan, and three steps
// must suffice.
func TestStepsNeverLeaveACustomerOnAMissingPlan(t *testing.T) {
	drawLists := func(t *rapid.T) Lists {
		lists := Lists{Customers: drawCustomers(t), Plans: drawPlans(t)}
		if CheckReferences(lists.Customers, lists.Plans) != nil {
			lists.Customers = Customers{Customers: []Customer{}}
		}
		return lists
	}
	rapid.Check(t, func(t *rapid.T) {
		current, wanted := drawLists(t), drawLists(t)
		steps := Steps(current, wanted)
		require.LessOrEqual(t, len(steps), 3)
		for _, step := range steps {
			require.NoError(t, step.Check())
			switch content := step.(type) {
			case Customers:
				require.NotEmpty(t, Diff(current.Customers, content))
				current.Customers = content
			case Plans:
				require.NotEmpty(t, Diff(current.Plans, content))
				current.Plans = content
			}
			require.NoError(t, CheckReferences(current.Customers, current.Plans))
		}
		require.True(t, Equal(wanted.Customers, current.Customers))
		require.True(t, Equal(wanted.Plans, current.Plans))
		require.Empty(t, Steps(current, wanted))
	})
}
