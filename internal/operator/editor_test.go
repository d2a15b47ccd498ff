package operator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shopspring/decimal"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/audit"
	"github.com/balsamlink/balsamlink/internal/billing"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/standin/memstore"
)

var (
	ctx      = context.Background()
	someTime = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
)

func noFaults(string) memstore.Fault { return memstore.None }

func testEditor(store platform.Store, newID func() string) *Editor {
	editor := NewEditor(store, "thandi")
	editor.now = func() time.Time { return someTime }
	editor.newID = newID
	editor.pause = func(context.Context, int) error { return nil }
	editor.runTasks = func(tasks []func()) {
		for _, task := range tasks {
			task()
		}
	}
	return editor
}

func faultFreeEditor(store *memstore.Store) *Editor {
	n := 0
	return testEditor(store.View(noFaults), func() string { n++; return fmt.Sprintf("faultfree-%p-%d", &n, n) })
}

func customers(planOf ...string) plan.Customers {
	list := plan.Customers{Customers: []plan.Customer{}}
	for i, name := range planOf {
		list.Customers = append(list.Customers, plan.Customer{Name: model.Customer(fmt.Sprint("c", i)), Plan: plan.Name(name)})
	}
	return list
}

func plans(units uint64, names ...string) plan.Plans {
	list := plan.Plans{Currency: "ZAR", Plans: []plan.Plan{}}
	allowance := plan.Allowance{
		Service: "memberdesk", RequestsPerSecond: 1, Burst: 1, InFlight: 1,
		UnitsPerMonth: units, UnitPrice: decimal.RequireFromString("0.5"),
	}
	for _, name := range names {
		list.Plans = append(list.Plans, plan.Plan{Name: plan.Name(name), Allowances: []plan.Allowance{allowance}})
	}
	return list
}

// command is one run of balsamctl in the stateful test.
type command struct {
	// changeIDs are those that the command has assigned so far.
	changeIDs []string
	// done is set when the command has ended.
	done bool
	// contents are those that the command applies; empty for a zone command.
	contents []plan.Content
	zone     model.Zone
	out      bool
	results  []Result
	err      error
}

// simulation is the platform with all operators and the results that they got.
type simulation struct {
	t        *rapid.T
	store    memstore.Store
	commands []*command
	// newestSeen holds the newest revision of each document that a command has
	// reported.
	newestSeen model.Revisions
}

// run carries out one command. Its platform calls are hit by faults and
// interleaved with complete commands of other operators.
func (s *simulation) run(depth int) {
	c := &command{}
	s.commands = append(s.commands, c)
	view := s.store.View(func(string) memstore.Fault {
		if depth < 2 && rapid.IntRange(0, 14).Draw(s.t, "interrupt") == 0 {
			s.run(depth + 1)
		}
		if rapid.IntRange(0, 9).Draw(s.t, "flush") == 0 {
			s.store.ApplyDelayed()
		}
		return s.drawFault()
	})
	number := len(s.commands)
	editor := testEditor(view, func() string {
		c.changeIDs = append(c.changeIDs, fmt.Sprintf("%d-%d", number, len(c.changeIDs)))
		return c.changeIDs[len(c.changeIDs)-1]
	})
	if rapid.Bool().Draw(s.t, "zone") {
		s.runZone(c, editor)
	} else {
		s.runApply(c, editor)
	}
	for _, result := range c.results {
		s.newestSeen[result.kind] = max(s.newestSeen[result.kind], result.Revision)
	}
	c.done = true
}

func (s *simulation) runZone(c *command, editor *Editor) {
	c.zone = rapid.SampledFrom([]model.Zone{"a", "b"}).Draw(s.t, "zone name")
	c.out = rapid.Bool().Draw(s.t, "out")
	var result Result
	result, c.err = editor.SetZone(ctx, c.zone, c.out)
	if c.err == nil {
		c.results = []Result{result}
	}
}

func (s *simulation) runApply(c *command, editor *Editor) {
	conditions := Conditions{IfRevision: map[model.DocumentKind]model.Revision{}}
	if rapid.Bool().Draw(s.t, "customers") {
		c.contents = append(c.contents, customers(rapid.SliceOfN(rapid.SampledFrom([]string{"p", "q"}), 0, 2).Draw(s.t, "plan of")...))
	}
	if len(c.contents) == 0 || rapid.Bool().Draw(s.t, "plans") {
		names := rapid.SampledFrom([][]string{{"p"}, {"q"}, {"p", "q"}}).Draw(s.t, "plan names")
		c.contents = append(c.contents, plans(rapid.Uint64Range(1, 2).Draw(s.t, "units"), names...))
	}
	if rapid.Bool().Draw(s.t, "if revision") {
		kind := c.contents[0].Kind()
		conditions.IfRevision[kind] = s.newestSeen[kind]
	}
	c.results, c.err = editor.Apply(ctx, c.contents, conditions)
}

func (s *simulation) drawFault() memstore.Fault {
	if rapid.IntRange(0, 9).Draw(s.t, "faulty") != 0 {
		return memstore.None
	}
	return rapid.SampledFrom([]memstore.Fault{
		memstore.Unavailable, memstore.OverBudget, memstore.RequestLost, memstore.ResponseLost, memstore.Delayed, memstore.Crash,
	}).Draw(s.t, "fault")
}

// outcomeKnown reports whether the command ended with the certainty that nothing
// more of it takes effect.
func (c *command) outcomeKnown() bool { return c.done && !errors.Is(c.err, ErrOutcomeUnknown) }

// Operators race under lost answers, delayed writes, outages and crashes. What
// each command reported must agree with the audit trail and the documents.
func TestReportedOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t}
		for range rapid.IntRange(1, 8).Draw(t, "commands") {
			s.run(0)
		}
		s.store.ApplyDelayed()
		final := faultFreeEditor(&s.store)
		// The first command after a crash completes the trail.
		_, err := final.readState(ctx, model.DocumentCustomers, model.DocumentPlans, model.DocumentOutOfService)
		require.NoError(t, err)
		state, err := ReadDocuments(ctx, s.store.View(noFaults))
		require.NoError(t, err)
		accepted := s.acceptedEntries(state)
		s.checkReported(accepted)
		s.checkZones(accepted)
		s.checkApplyTwice(final)
	})
}

// acceptedEntries verifies the trail and returns its accepted entries by change
// id.
func (s *simulation) acceptedEntries(state StoredState) map[string]audit.Entry {
	verifier := audit.NewVerifier(state.Documents())
	accepted := map[string]audit.Entry{}
	count := map[string]int{}
	err := audit.NewTrail(s.store.View(noFaults)).Walk(ctx, func(segment audit.Segment) {
		verifier.Add(segment)
		for _, entry := range segment.Entries {
			count[entry.ChangeID]++
			if entry.Outcome == audit.Accepted {
				accepted[entry.ChangeID] = entry
			}
		}
	})
	require.NoError(s.t, err)
	require.Empty(s.t, verifier.Finish())
	for id, n := range count {
		require.Equal(s.t, 1, n, id)
	}
	return accepted
}

func (s *simulation) checkReported(accepted map[string]audit.Entry) {
	for _, c := range s.commands {
		reported := map[string]bool{}
		for _, result := range c.results {
			if !result.Changed {
				require.Empty(s.t, result.ChangeID)
				continue
			}
			reported[result.ChangeID] = true
			entry, found := accepted[result.ChangeID]
			require.True(s.t, found, "%s was reported as accepted", result.ChangeID)
			require.Equal(s.t, result.Revision, entry.To)
		}
		for _, id := range c.changeIDs {
			if _, found := accepted[id]; found && c.outcomeKnown() {
				require.True(s.t, reported[id], "%s took effect without being reported to its operator: %v", id, c.err)
			}
		}
	}
}

// checkZones replays the accepted zone commands in revision order: no change may
// be overwritten by another.
func (s *simulation) checkZones(accepted map[string]audit.Entry) {
	byRevision := map[model.Revision]audit.Entry{}
	for _, entry := range accepted {
		if entry.Document == model.DocumentOutOfService.String() {
			byRevision[entry.To] = entry
		}
	}
	out := plan.OutOfService{}
	for revision := model.Revision(1); int(revision) <= len(byRevision); revision++ {
		entry := byRevision[revision]
		var number, n int
		_, err := fmt.Sscanf(entry.ChangeID, "%d-%d", &number, &n)
		require.NoError(s.t, err)
		c := s.commands[number-1]
		out = withZone(out, c.zone, c.out)
		hash, err := plan.ContentSHA256(out)
		require.NoError(s.t, err)
		require.Equal(s.t, hash, entry.ContentSHA256, "zones at revision %d", revision)
	}
}

func (s *simulation) checkApplyTwice(editor *Editor) {
	contents := []plan.Content{customers("p", "q"), plans(7, "p", "q")}
	_, err := editor.Apply(ctx, contents, Conditions{})
	require.NoError(s.t, err)
	results, err := editor.Apply(ctx, contents, Conditions{})
	require.NoError(s.t, err)
	require.Len(s.t, results, 2)
	state, err := ReadDocuments(ctx, s.store.View(noFaults))
	require.NoError(s.t, err)
	for i, result := range results {
		require.False(s.t, result.Changed)
		require.Empty(s.t, plan.Diff(state.Stored[contents[i].Kind()].Document.Content, contents[i]))
	}
}

// A lost answer is resolved by reading, even if another change has been made on
// top. A write that is still in transit is not written twice.
func TestLostAnswerIsResolved(t *testing.T) {
	for _, fault := range []memstore.Fault{memstore.RequestLost, memstore.ResponseLost, memstore.Delayed} {
		for _, superseded := range []bool{false, true} {
			var store memstore.Store
			puts := 0
			editor := testEditor(store.View(func(call string) memstore.Fault {
				if call != "put" {
					return memstore.None
				}
				puts++
				if puts == 1 {
					return fault
				}
				return memstore.None
			}), func() string { return "lost" })
			// Between two attempts the delayed write arrives, and another operator
			// makes a change on top.
			editor.pause = func(context.Context, int) error {
				store.ApplyDelayed()
				if superseded && fault != memstore.RequestLost {
					_, err := faultFreeEditor(&store).SetZone(ctx, "b", true)
					require.NoError(t, err)
				}
				return nil
			}
			result, err := editor.SetZone(ctx, "a", true)
			require.NoError(t, err, "%d %v", fault, superseded)
			require.Equal(t, "lost", result.ChangeID)
			require.Equal(t, model.Revision(1), result.Revision)
		}
	}
}

// Operators take zones out of service concurrently, each in a process of its own,
// while every fifth answer of a write is lost. No zone may be lost to a concurrent
// change.
func TestZonesOutAtOnce(t *testing.T) {
	var store memstore.Store
	var puts atomic.Int64
	var running sync.WaitGroup
	const operators = 8
	failures := make([]error, operators)
	for i := range operators {
		editor := NewEditor(store.View(func(call string) memstore.Fault {
			if call == "put" && puts.Add(1)%5 == 0 {
				return memstore.ResponseLost
			}
			return memstore.None
		}), fmt.Sprint("operator ", i))
		running.Go(func() { _, failures[i] = editor.SetZone(ctx, model.Zone(fmt.Sprint(i)), true) })
	}
	running.Wait()
	require.NoError(t, errors.Join(failures...))
	stored, err := readStored(ctx, store.View(noFaults), model.DocumentOutOfService)
	require.NoError(t, err)
	require.Len(t, stored.Document.Content.(plan.OutOfService).Zones, operators)
	require.Equal(t, model.Revision(operators), stored.Revision)
	report, err := Audit(ctx, store.View(noFaults), func(audit.Entry) bool { return true })
	require.NoError(t, err)
	require.Len(t, report.Entries, operators)
}

// balsamctl crashes right after a document was accepted: the audit reports that
// the entry is pending, and the next command adds it in the name of the crashed
// one.
func TestCrashBeforeTheAuditWrite(t *testing.T) {
	var store memstore.Store
	puts := 0
	crashing := testEditor(store.View(func(call string) memstore.Fault {
		if call == "put" {
			puts++
		}
		if puts == 2 {
			return memstore.Unavailable
		}
		return memstore.None
	}), func() string { return "crashing" })
	result, err := crashing.SetZone(ctx, "a", true)
	require.NoError(t, err)
	require.Contains(t, result.AuditError, "unavailable")
	all := func(audit.Entry) bool { return true }
	report, err := Audit(ctx, store.View(noFaults), all)
	require.NoError(t, err)
	require.Equal(t, []string{"out"}, report.Pending)
	_, err = faultFreeEditor(&store).SetZone(ctx, "a", true)
	require.NoError(t, err)
	report, err = Audit(ctx, store.View(noFaults), all)
	require.NoError(t, err)
	require.Empty(t, report.Pending)
	require.Len(t, report.Entries, 1)
	require.Equal(t, "crashing", report.Entries[0].ChangeID)
}

func TestLoserOfARaceSeesTheDifference(t *testing.T) {
	var store memstore.Store
	first := faultFreeEditor(&store)
	_, err := first.Apply(ctx, []plan.Content{customers("p"), plans(5, "p")}, Conditions{})
	require.NoError(t, err)
	raced := false
	view := store.View(func(call string) memstore.Fault {
		if call == "put" && !raced {
			raced = true
			_, err := first.Apply(ctx, []plan.Content{plans(6, "p")}, Conditions{})
			require.NoError(t, err)
		}
		return memstore.None
	})
	second := testEditor(view, func() string { return "second" })
	_, err = second.Apply(ctx, []plan.Content{plans(7, "p")}, Conditions{})
	var refusal *Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, ReasonRace, refusal.Reason)
	require.Equal(t, model.Revision(2), refusal.Revision)
	require.Equal(t, []string{"plan p: memberdesk units_per_month: 6 -> 7"}, plan.Describe(refusal.Differences))
	_, err = second.Apply(ctx, []plan.Content{plans(7, "p")}, Conditions{
		IfRevision: map[model.DocumentKind]model.Revision{model.DocumentPlans: 1},
	})
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, ReasonRevision, refusal.Reason)
}

// Each list has its own key, so one operator can remove the plan to which another
// one concurrently moves a customer. The later of them must get a warning.
func TestCustomerOnAMissingPlanIsReported(t *testing.T) {
	var store memstore.Store
	first := faultFreeEditor(&store)
	_, err := first.Apply(ctx, []plan.Content{customers("p"), plans(5, "p", "q")}, Conditions{})
	require.NoError(t, err)
	require.NoError(t, CheckPlanReferences(ctx, store.View(noFaults)))
	raced := false
	second := testEditor(store.View(func(call string) memstore.Fault {
		if call == "put" && !raced {
			raced = true
			_, err := first.Apply(ctx, []plan.Content{plans(5, "p")}, Conditions{})
			require.NoError(t, err)
		}
		return memstore.None
	}), func() string { return "second" })
	_, err = second.Apply(ctx, []plan.Content{customers("q")}, Conditions{})
	require.NoError(t, err)
	require.ErrorContains(t, CheckPlanReferences(ctx, store.View(noFaults)), `customers[0].plan: "q"`)
}

// The header of a document has space for its changes next to the largest list,
// even if JSON encoding makes every character six times as long.
func TestLargestChangeFitsTheDocument(t *testing.T) {
	var store memstore.Store
	editor := faultFreeEditor(&store)
	wide := plan.Name(strings.Repeat("&", 120))
	list := customers()
	for size := 0; size < plan.MaxContentSize-3000; {
		name := model.Customer(fmt.Sprint(strings.Repeat("<", 120), len(list.Customers)))
		list.Customers = append(list.Customers, plan.Customer{Name: name, Plan: wide})
		body, err := plan.EncodeContent(list)
		require.NoError(t, err)
		size = len(body)
	}
	_, err := editor.Apply(ctx, []plan.Content{list, plans(1, string(wide))}, Conditions{})
	require.NoError(t, err)
}

func TestReductionBelowUsageNeedsConfirmation(t *testing.T) {
	var store memstore.Store
	editor := faultFreeEditor(&store)
	_, err := editor.Apply(ctx, []plan.Content{customers("p"), plans(5, "p")}, Conditions{})
	require.NoError(t, err)
	metering := `{"month":"2026-12","used":[{"customer":"c0","service":"memberdesk","units":4}]}`
	_, err = store.View(noFaults).Put(ctx, platform.Write{Key: "metering/7", Value: []byte(metering)})
	require.NoError(t, err)
	var refusal *Refusal
	for _, content := range []plan.Content{plans(3, "p"), customers()} {
		_, err = editor.Apply(ctx, []plan.Content{content}, Conditions{})
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, ReasonReduction, refusal.Reason)
	}
	require.Equal(t, []billing.Reduction{{Customer: "c0", Service: "memberdesk", Used: 4, Before: 5}}, refusal.Reductions)
	results, err := editor.Apply(ctx, []plan.Content{customers()}, Conditions{ConfirmReductions: true})
	require.NoError(t, err)
	require.Equal(t, model.Revision(2), results[0].Revision)
}

// A document that the platform lost or damaged must be restored with a revision
// above every one that a node may have.
func TestRevisionRisesAboveALostDocument(t *testing.T) {
	for name, damage := range map[string]string{"damaged": `{"revision":9,"content":`, "lost": ""} {
		var store memstore.Store
		editor := faultFreeEditor(&store)
		contents := []plan.Content{plans(5, "p"), customers("p")}
		_, err := editor.Apply(ctx, contents, Conditions{})
		require.NoError(t, err)
		_, err = editor.Apply(ctx, []plan.Content{plans(6, "p")}, Conditions{})
		require.NoError(t, err)
		stored, err := readStored(ctx, store.View(noFaults), model.DocumentPlans)
		require.NoError(t, err)
		if damage == "" {
			require.NoError(t, store.View(noFaults).Delete(ctx, "documents/plans", stored.version))
		} else {
			_, err = store.View(noFaults).Put(ctx, platform.Write{Key: "documents/plans", Value: []byte(damage), Expect: stored.version})
			require.NoError(t, err)
		}
		_, err = editor.Apply(ctx, []plan.Content{customers("q")}, Conditions{})
		require.Error(t, err, name)
		results, err := editor.Apply(ctx, contents, Conditions{})
		require.NoError(t, err, name)
		require.Equal(t, model.Revision(3), results[0].Revision, name)
		require.True(t, strings.HasPrefix(results[0].ChangeID, "faultfree"))
	}
}
