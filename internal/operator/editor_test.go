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

func calm(string) memstore.Fault { return memstore.None }

func testEditor(store platform.Store, newID func() string) *Editor {
	editor := NewEditor(store, "thandi")
	editor.now = func() time.Time { return someTime }
	editor.newID = newID
	editor.pause = func(context.Context, int) error { return nil }
	editor.run = func(tasks []func()) {
		for _, task := range tasks {
			task()
		}
	}
	return editor
}

func calmEditor(store *memstore.Store) *Editor {
	n := 0
	return testEditor(store.View(calm), func() string { n++; return fmt.Sprintf("calm-%p-%d", &n, n) })
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
	ids  []string
	done bool
	// contents are those that the command applies; empty for a zone command.
	contents []plan.Content
	zone     model.Zone
	out      bool
	results  []Result
	err      error
}

// world is the platform with all operators and what they were told.
type world struct {
	t        *rapid.T
	store    memstore.Store
	commands []*command
	seen     model.Revisions
}

// run carries out one command whose platform calls meet faults and other
// operators' whole commands.
func (w *world) run(depth int) {
	c := &command{}
	w.commands = append(w.commands, c)
	view := w.store.View(func(string) memstore.Fault {
		if depth < 2 && rapid.IntRange(0, 14).Draw(w.t, "interrupt") == 0 {
			w.run(depth + 1)
		}
		if rapid.IntRange(0, 9).Draw(w.t, "flush") == 0 {
			w.store.ApplyDelayed()
		}
		return w.drawFault()
	})
	number := len(w.commands)
	editor := testEditor(view, func() string {
		c.ids = append(c.ids, fmt.Sprintf("%d-%d", number, len(c.ids)))
		return c.ids[len(c.ids)-1]
	})
	if rapid.Bool().Draw(w.t, "zone") {
		w.runZone(c, editor)
	} else {
		w.runApply(c, editor)
	}
	for _, result := range c.results {
		w.seen[result.kind] = max(w.seen[result.kind], result.Revision)
	}
	c.done = true
}

func (w *world) runZone(c *command, editor *Editor) {
	c.zone = rapid.SampledFrom([]model.Zone{"a", "b"}).Draw(w.t, "zone name")
	c.out = rapid.Bool().Draw(w.t, "out")
	var result Result
	result, c.err = editor.SetZone(ctx, c.zone, c.out)
	if c.err == nil {
		c.results = []Result{result}
	}
}

func (w *world) runApply(c *command, editor *Editor) {
	conditions := Conditions{IfRevision: map[model.DocumentKind]model.Revision{}}
	if rapid.Bool().Draw(w.t, "customers") {
		c.contents = append(c.contents, customers(rapid.SliceOfN(rapid.SampledFrom([]string{"p", "q"}), 0, 2).Draw(w.t, "plan of")...))
	}
	if len(c.contents) == 0 || rapid.Bool().Draw(w.t, "plans") {
		names := rapid.SampledFrom([][]string{{"p"}, {"q"}, {"p", "q"}}).Draw(w.t, "plan names")
		c.contents = append(c.contents, plans(rapid.Uint64Range(1, 2).Draw(w.t, "units"), names...))
	}
	if rapid.Bool().Draw(w.t, "if revision") {
		kind := c.contents[0].Kind()
		conditions.IfRevision[kind] = w.seen[kind]
	}
	c.results, c.err = editor.Apply(ctx, c.contents, conditions)
}

func (w *world) drawFault() memstore.Fault {
	if rapid.IntRange(0, 9).Draw(w.t, "faulty") != 0 {
		return memstore.None
	}
	return rapid.SampledFrom([]memstore.Fault{
		memstore.Unavailable, memstore.OverBudget, memstore.RequestLost, memstore.ResponseLost, memstore.Delayed, memstore.Crash,
	}).Draw(w.t, "fault")
}

// sure reports whether the command knows that nothing more of it takes effect.
func (c *command) sure() bool { return c.done && !errors.Is(c.err, ErrOutcomeUnknown) }

// Operators race with lost answers, delayed writes, outages and deaths. The
// oracle is what each of them was told.
func TestWhatOperatorsAreToldIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t}
		for range rapid.IntRange(1, 8).Draw(t, "commands") {
			w.run(0)
		}
		w.store.ApplyDelayed()
		final := calmEditor(&w.store)
		// The first command after a death completes the trail.
		_, err := final.readState(ctx, model.DocumentCustomers, model.DocumentPlans, model.DocumentOutOfService)
		require.NoError(t, err)
		state, err := ReadDocuments(ctx, w.store.View(calm))
		require.NoError(t, err)
		accepted := w.acceptedEntries(state)
		w.checkTold(accepted)
		w.checkZones(accepted)
		w.checkApplyTwice(final)
	})
}

// acceptedEntries checks the trail and returns its accepted entries by change.
func (w *world) acceptedEntries(state State) map[string]audit.Entry {
	verifier := audit.NewVerifier(state.Documents())
	accepted := map[string]audit.Entry{}
	count := map[string]int{}
	err := audit.NewTrail(w.store.View(calm)).Walk(ctx, func(segment audit.Segment) {
		verifier.Add(segment)
		for _, entry := range segment.Entries {
			count[entry.ChangeID]++
			if entry.Outcome == audit.Accepted {
				accepted[entry.ChangeID] = entry
			}
		}
	})
	require.NoError(w.t, err)
	require.Empty(w.t, verifier.Finish())
	for id, n := range count {
		require.Equal(w.t, 1, n, id)
	}
	return accepted
}

func (w *world) checkTold(accepted map[string]audit.Entry) {
	for _, c := range w.commands {
		told := map[string]bool{}
		for _, result := range c.results {
			if !result.Changed {
				require.Empty(w.t, result.ChangeID)
				continue
			}
			told[result.ChangeID] = true
			entry, found := accepted[result.ChangeID]
			require.True(w.t, found, "%s was told accepted", result.ChangeID)
			require.Equal(w.t, result.Revision, entry.To)
		}
		for _, id := range c.ids {
			if _, found := accepted[id]; found && c.sure() {
				require.True(w.t, told[id], "%s took effect and its operator was not told: %v", id, c.err)
			}
		}
	}
}

// checkZones replays the accepted zone commands in the order of the revisions:
// none of them may be lost under another.
func (w *world) checkZones(accepted map[string]audit.Entry) {
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
		require.NoError(w.t, err)
		c := w.commands[number-1]
		out = withZone(out, c.zone, c.out)
		hash, err := plan.ContentSHA256(out)
		require.NoError(w.t, err)
		require.Equal(w.t, hash, entry.ContentSHA256, "zones at revision %d", revision)
	}
}

func (w *world) checkApplyTwice(editor *Editor) {
	contents := []plan.Content{customers("p", "q"), plans(7, "p", "q")}
	_, err := editor.Apply(ctx, contents, Conditions{})
	require.NoError(w.t, err)
	results, err := editor.Apply(ctx, contents, Conditions{})
	require.NoError(w.t, err)
	require.Len(w.t, results, 2)
	state, err := ReadDocuments(ctx, w.store.View(calm))
	require.NoError(w.t, err)
	for i, result := range results {
		require.False(w.t, result.Changed)
		require.Empty(w.t, plan.Diff(state.Held[contents[i].Kind()].Document.Content, contents[i]))
	}
}

// A lost answer is settled by reading, also when another change has come on
// top; what is still on its way is not written twice.
func TestLostAnswerIsSettled(t *testing.T) {
	for _, fault := range []memstore.Fault{memstore.RequestLost, memstore.ResponseLost, memstore.Delayed} {
		for _, overtaken := range []bool{false, true} {
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
			editor.pause = func(context.Context, int) error {
				store.ApplyDelayed()
				if overtaken && fault != memstore.RequestLost {
					_, err := calmEditor(&store).SetZone(ctx, "b", true)
					require.NoError(t, err)
				}
				return nil
			}
			result, err := editor.SetZone(ctx, "a", true)
			require.NoError(t, err, "%d %v", fault, overtaken)
			require.Equal(t, "lost", result.ChangeID)
			require.Equal(t, model.Revision(1), result.Revision)
		}
	}
}

// Operators take zones out at the same moment, each in a process of its own,
// while every fifth answer of a write is lost. No zone is lost under another.
func TestZonesOutAtOnce(t *testing.T) {
	var store memstore.Store
	var puts atomic.Int64
	var running sync.WaitGroup
	const operators = 8
	faults := make([]error, operators)
	for i := range operators {
		editor := NewEditor(store.View(func(call string) memstore.Fault {
			if call == "put" && puts.Add(1)%5 == 0 {
				return memstore.ResponseLost
			}
			return memstore.None
		}), fmt.Sprint("operator ", i))
		running.Go(func() { _, faults[i] = editor.SetZone(ctx, model.Zone(fmt.Sprint(i)), true) })
	}
	running.Wait()
	require.NoError(t, errors.Join(faults...))
	held, err := readHeld(ctx, store.View(calm), model.DocumentOutOfService)
	require.NoError(t, err)
	require.Len(t, held.Document.Content.(plan.OutOfService).Zones, operators)
	require.Equal(t, model.Revision(operators), held.Revision)
	report, err := Audit(ctx, store.View(calm), func(audit.Entry) bool { return true })
	require.NoError(t, err)
	require.Len(t, report.Entries, operators)
}

// balsamctl dies right after the document was accepted: the trail is one entry
// short and says so, and the next command completes it in the dead one's name.
func TestDeathBeforeTheAuditWrite(t *testing.T) {
	var store memstore.Store
	puts := 0
	dying := testEditor(store.View(func(call string) memstore.Fault {
		if call == "put" {
			puts++
		}
		if puts == 2 {
			return memstore.Unavailable
		}
		return memstore.None
	}), func() string { return "dying" })
	result, err := dying.SetZone(ctx, "a", true)
	require.NoError(t, err)
	require.Contains(t, result.Unrecorded, "unavailable")
	all := func(audit.Entry) bool { return true }
	report, err := Audit(ctx, store.View(calm), all)
	require.NoError(t, err)
	require.Equal(t, []string{"out"}, report.Pending)
	_, err = calmEditor(&store).SetZone(ctx, "a", true)
	require.NoError(t, err)
	report, err = Audit(ctx, store.View(calm), all)
	require.NoError(t, err)
	require.Empty(t, report.Pending)
	require.Len(t, report.Entries, 1)
	require.Equal(t, "dying", report.Entries[0].ChangeID)
}

func TestLoserOfARaceSeesTheDifference(t *testing.T) {
	var store memstore.Store
	first := calmEditor(&store)
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

// Each list has a key of its own, so one operator can remove the plan that
// another one moves a customer to. Then the later of them is told.
func TestCustomerOnAMissingPlanIsTold(t *testing.T) {
	var store memstore.Store
	first := calmEditor(&store)
	_, err := first.Apply(ctx, []plan.Content{customers("p"), plans(5, "p", "q")}, Conditions{})
	require.NoError(t, err)
	require.NoError(t, Dangling(ctx, store.View(calm)))
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
	require.ErrorContains(t, Dangling(ctx, store.View(calm)), `customers[0].plan: "q"`)
}

// The header of a document has room for its changes beside the largest list,
// also where JSON makes every character six times as long.
func TestLargestChangeFitsTheDocument(t *testing.T) {
	var store memstore.Store
	editor := calmEditor(&store)
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

func TestCutBelowUseNeedsConfirmation(t *testing.T) {
	var store memstore.Store
	editor := calmEditor(&store)
	_, err := editor.Apply(ctx, []plan.Content{customers("p"), plans(5, "p")}, Conditions{})
	require.NoError(t, err)
	metering := `{"month":"2026-12","used":[{"customer":"c0","service":"memberdesk","units":4}]}`
	_, err = store.View(calm).Put(ctx, platform.Write{Key: "metering/7", Value: []byte(metering)})
	require.NoError(t, err)
	var refusal *Refusal
	for _, content := range []plan.Content{plans(3, "p"), customers()} {
		_, err = editor.Apply(ctx, []plan.Content{content}, Conditions{})
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, ReasonCut, refusal.Reason)
	}
	require.Equal(t, []billing.Reduction{{Customer: "c0", Service: "memberdesk", Used: 4, Before: 5}}, refusal.Cuts)
	results, err := editor.Apply(ctx, []plan.Content{customers()}, Conditions{ConfirmCut: true})
	require.NoError(t, err)
	require.Equal(t, model.Revision(2), results[0].Revision)
}

// A document that the platform lost or damaged comes back above every revision
// that a node may hold.
func TestRevisionRisesAboveALostDocument(t *testing.T) {
	for name, damage := range map[string]string{"damaged": `{"revision":9,"content":`, "lost": ""} {
		var store memstore.Store
		editor := calmEditor(&store)
		contents := []plan.Content{plans(5, "p"), customers("p")}
		_, err := editor.Apply(ctx, contents, Conditions{})
		require.NoError(t, err)
		_, err = editor.Apply(ctx, []plan.Content{plans(6, "p")}, Conditions{})
		require.NoError(t, err)
		held, err := readHeld(ctx, store.View(calm), model.DocumentPlans)
		require.NoError(t, err)
		if damage == "" {
			require.NoError(t, store.View(calm).Delete(ctx, "documents/plans", held.version))
		} else {
			_, err = store.View(calm).Put(ctx, platform.Write{Key: "documents/plans", Value: []byte(damage), Expect: held.version})
			require.NoError(t, err)
		}
		_, err = editor.Apply(ctx, []plan.Content{customers("q")}, Conditions{})
		require.Error(t, err, name)
		results, err := editor.Apply(ctx, contents, Conditions{})
		require.NoError(t, err, name)
		require.Equal(t, model.Revision(3), results[0].Revision, name)
		require.True(t, strings.HasPrefix(results[0].ChangeID, "calm"))
	}
}
