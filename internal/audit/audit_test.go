package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/standin/memstore"
)

// smallSegment is a segment size that a few entries reach, in bytes.
const smallSegment = 1500

func noFaults(string) memstore.Fault { return memstore.None }

func testTrail(store platform.Store) *Trail { return &Trail{store: store, segmentSize: smallSegment} }

// record returns a record whose change line contains a byte that is not valid
// UTF-8. Unless that byte is replaced before the entry is hashed, the stored entry
// no longer matches its hash.
func record(id string, outcome Outcome, to model.Revision) Record {
	r := Record{ChangeID: id, Time: time.Unix(1, 0), Author: "thandi", Document: "out", Outcome: outcome, Changes: []string{"zone a\xff"}}
	if outcome == Accepted {
		r.From, r.To = to-1, to
	}
	return r
}

func walk(t require.TestingT, trail *Trail) []Segment {
	var segments []Segment
	require.NoError(t, trail.Walk(context.Background(), func(s Segment) { segments = append(segments, s) }))
	return segments
}

func verify(segments []Segment, documents ...plan.Document) []Fault {
	v := NewVerifier(documents)
	for _, segment := range segments {
		v.Add(segment)
	}
	return v.Finish()
}

// chainFaults returns the faults of the chain alone. It drops those about missing
// documents, which have segment 0, since the verifier is given no documents.
func chainFaults(segments []Segment) []Fault {
	var faults []Fault
	for _, fault := range verify(segments) {
		if fault.Segment != 0 {
			faults = append(faults, fault)
		}
	}
	return faults
}

// Several processes append concurrently under lost answers, delayed writes,
// outages and crashes. A record that Append confirmed must be in the trail exactly
// once, any other at most once, and the chain must be intact.
func TestTrailKeepsEveryConfirmedRecordOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store memstore.Store
		confirmed, attempted := map[string]bool{}, map[string]bool{}
		revision := model.Revision(1)
		var appendOne func(depth int)
		appendOne = func(depth int) {
			view := store.View(func(string) memstore.Fault {
				if depth < 2 && rapid.IntRange(0, 9).Draw(t, "interrupt") == 0 {
					appendOne(depth + 1)
				}
				if rapid.IntRange(0, 9).Draw(t, "flush") == 0 {
					store.ApplyDelayed()
				}
				return drawFault(t)
			})
			change := record(fmt.Sprintf("refused-%d", len(attempted)), Refused, 0)
			if rapid.Bool().Draw(t, "accepted") {
				change = record(fmt.Sprintf("accepted-%d", revision), Accepted, revision)
			}
			attempted[change.ChangeID] = true
			_, err := testTrail(view).Append(context.Background(), change, plan.AuditHead{})
			if err != nil {
				return
			}
			confirmed[change.ChangeID] = true
			if change.To == revision {
				revision++
			}
		}
		// This process caches the newest segment while the others append.
		longLived := testTrail(store.View(noFaults))
		_, err := longLived.Append(context.Background(), record("first", Refused, 0), plan.AuditHead{})
		require.NoError(t, err)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			appendOne(0)
		}
		store.ApplyDelayed()
		_, err = longLived.Append(context.Background(), record("last", Refused, 0), plan.AuditHead{})
		require.NoError(t, err)
		segments := walk(t, testTrail(store.View(noFaults)))
		require.Empty(t, chainFaults(segments))
		count := map[string]int{}
		for _, segment := range segments {
			for _, entry := range segment.Entries {
				count[entry.ChangeID]++
			}
		}
		for id := range attempted {
			require.LessOrEqual(t, count[id], 1, id)
			if confirmed[id] {
				require.Equal(t, 1, count[id], id)
			}
		}
	})
}

func drawFault(t *rapid.T) memstore.Fault {
	if rapid.IntRange(0, 3).Draw(t, "faulty") != 0 {
		return memstore.None
	}
	return rapid.SampledFrom([]memstore.Fault{
		memstore.Unavailable, memstore.OverBudget, memstore.RequestLost, memstore.ResponseLost, memstore.Delayed, memstore.Crash,
	}).Draw(t, "fault")
}

// appendAccepted appends n accepted records and returns all segments and the
// document that the last record describes.
func appendAccepted(t require.TestingT, store *memstore.Store, n int) ([]Segment, plan.Document) {
	trail := testTrail(store.View(noFaults))
	var document plan.Document
	for i := range n {
		document = plan.Document{Content: plan.OutOfService{Zones: []model.Zone{model.Zone(fmt.Sprint(i))}}}
		end, err := trail.End(context.Background())
		require.NoError(t, err)
		document.Header = plan.Header{
			Revision: model.Revision(i + 1), Base: model.Revision(i), AuditHead: end.Head,
			ChangeID: fmt.Sprint("c", i), Changes: []string{"x"},
		}
		accepted, err := AcceptedRecord(document)
		require.NoError(t, err)
		_, err = trail.Append(context.Background(), accepted, document.Header.AuditHead)
		require.NoError(t, err)
	}
	return walk(t, trail), document
}

// The verifier must report each edit and each removal of a stored entry, segment or
// document. An undetected one would let somebody rewrite the history of changes.
func TestEveryEditAndGapIsDetected(t *testing.T) {
	segments, document := appendAccepted(t, new(memstore.Store), 12)
	require.Greater(t, len(segments), 2)
	require.Empty(t, verify(segments, document))
	text, err := json.Marshal(segments)
	require.NoError(t, err)
	// Each edit is given the index of a segment and that of an entry in it.
	edits := map[string]func([]Segment, int, int) []Segment{
		"author": func(s []Segment, i, j int) []Segment { s[i].Entries[j].Author = "mallory"; return s },
		"rehashed": func(s []Segment, i, j int) []Segment {
			s[i].Entries[j].Changes = []string{"y"}
			s[i].Entries[j].Hash, _ = hashOf(s[i].Entries[j])
			return s
		},
		"entry removed": func(s []Segment, i, j int) []Segment {
			s[i].Entries = append(s[i].Entries[:j:j], s[i].Entries[j+1:]...)
			return s
		},
		"segment removed": func(s []Segment, i, _ int) []Segment { return append(s[:i:i], s[i+1:]...) },
		"cut off":         func(s []Segment, i, _ int) []Segment { return s[:i] },
	}
	for name, edit := range edits {
		for i, segment := range segments {
			for j := range segment.Entries {
				last := i == len(segments)-1 && j == len(segment.Entries)-1
				if last && name == "entry removed" {
					continue // no fault: an operator's next command restores the entry from the document
				}
				var edited []Segment
				require.NoError(t, json.Unmarshal(text, &edited))
				edited = edit(edited, i, j)
				require.NotEmpty(t, verify(edited, document), "%s at %d/%d", name, i, j)
			}
		}
	}
	document.Content = plan.OutOfService{}
	require.NotEmpty(t, verify(segments, document), "document edited")
}

// A damaged newest segment must not prevent further appends, and must stay visible
// as a fault.
func TestAppendAfterDamagedSegment(t *testing.T) {
	var store memstore.Store
	trail := testTrail(store.View(noFaults))
	ctx := context.Background()
	end, err := trail.Append(ctx, record("a", Refused, 0), plan.AuditHead{})
	require.NoError(t, err)
	_, err = store.View(noFaults).Put(ctx, platform.Write{Key: segmentKey(1), Value: []byte("{"), Expect: 1})
	require.NoError(t, err)
	after, err := trail.Append(ctx, record("b", Refused, 0), end.Head)
	require.NoError(t, err)
	require.Equal(t, uint64(2), after.Head.Sequence)
	require.NotEmpty(t, verify(walk(t, trail)))
}

// The stored hint at the newest segment may be missing, outdated or wrong.
// AcceptedAt must find the entry of each accepted revision all the same.
func TestAcceptedAtLooksThroughAllSegments(t *testing.T) {
	ctx := context.Background()
	for _, text := range []string{"", `{"segment":1}`, `{"segment":99}`, "{"} {
		var store memstore.Store
		appendAccepted(t, &store, 12)
		view := store.View(noFaults)
		stored, err := view.Get(ctx, keyNewest)
		require.NoError(t, err)
		if text == "" {
			require.NoError(t, view.Delete(ctx, keyNewest, stored.Version))
		} else {
			_, err = view.Put(ctx, platform.Write{Key: keyNewest, Value: []byte(text), Expect: stored.Version})
			require.NoError(t, err)
		}
		for revision := model.Revision(1); revision <= 13; revision++ {
			entry, found, err := testTrail(view).AcceptedAt(ctx, model.DocumentOutOfService, revision)
			require.NoError(t, err)
			require.Equal(t, revision <= 12, found, "%s %d", text, revision)
			if found {
				require.Equal(t, fmt.Sprint("c", revision-1), entry.ChangeID)
			}
		}
	}
}
