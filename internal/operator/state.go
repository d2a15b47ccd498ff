// Package operator carries out what operators want done: it changes the
// operators' documents in the platform, keeps the audit trail, spreads accepted
// documents to the nodes, and gathers what operators want to see.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/audit"
	"github.com/balsamlink/balsamlink/internal/billing"
	"github.com/balsamlink/balsamlink/internal/cluster"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// Error is the class of all errors of this layer.
var Error = errs.Class("operator")

// meteringPrefix is before the number of each shard's metering totals.
const meteringPrefix = "metering/"

// Held is one of the operators' documents as the platform holds it.
type Held struct {
	Kind model.DocumentKind
	// Document is the zero value when the platform holds none, or a damaged one.
	Document plan.Document
	// Revision is known of damaged documents too, where it can be read.
	Revision model.Revision
	// Damaged tells why the stored document cannot be used.
	Damaged error

	version platform.Version
	body    []byte
}

// Exists reports whether the platform holds a good document.
func (h Held) Exists() bool { return h.Document.Content != nil }

// State is what the platform holds at one time.
type State struct {
	Held [model.DocumentCount]Held
	// Trail is the end of the audit trail, which covers all documents.
	Trail audit.Base
}

// Lists returns the two lists, empty where there is none.
func (s State) Lists() plan.Lists {
	lists := plan.Lists{Customers: plan.Customers{Customers: []plan.Customer{}}}
	if customers, ok := s.Held[model.DocumentCustomers].Document.Content.(plan.Customers); ok {
		lists.Customers = customers
	}
	if plans, ok := s.Held[model.DocumentPlans].Document.Content.(plan.Plans); ok {
		lists.Plans = plans
	}
	return lists
}

// Documents returns the good documents.
func (s State) Documents() []plan.Document {
	var documents []plan.Document
	for _, held := range s.Held {
		if held.Exists() {
			documents = append(documents, held.Document)
		}
	}
	return documents
}

func (s State) revisions() model.Revisions {
	var revisions model.Revisions
	for i, held := range s.Held {
		revisions[i] = held.Revision
	}
	return revisions
}

func documentKey(kind model.DocumentKind) string { return cluster.DocumentsPrefix + kind.String() }

// readHeld reads one document.
func readHeld(ctx context.Context, store platform.Store, kind model.DocumentKind) (Held, error) {
	entry, err := store.Get(ctx, documentKey(kind))
	if errors.Is(err, platform.ErrNotFound) {
		return Held{Kind: kind}, nil
	}
	if err != nil {
		return Held{}, Error.Wrap(err)
	}
	held := Held{Kind: kind, version: entry.Version, body: entry.Value}
	held.Document, held.Damaged = plan.DecodeDocument(kind, entry.Value)
	held.Revision = held.Document.Header.Revision
	if held.Damaged != nil {
		held.Revision = salvageRevision(entry.Value)
	}
	return held, nil
}

// salvageRevision returns the revision of a damaged document, 0 if unreadable.
func salvageRevision(body []byte) model.Revision {
	var head struct {
		Revision model.Revision `json:"revision"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return 0
	}
	return head.Revision
}

// ReadDocuments reads all documents and leaves the trail alone.
func ReadDocuments(ctx context.Context, store platform.Store) (State, error) {
	var state State
	for i := range state.Held {
		held, err := readHeld(ctx, store, model.DocumentKind(i))
		if err != nil {
			return State{}, err
		}
		state.Held[i] = held
	}
	return state, nil
}

// readState reads documents and the end of the trail, all at once since the
// platform may be slow, and completes the trail. Kinds that are not asked for
// stay empty.
func (e *Editor) readState(ctx context.Context, kinds ...model.DocumentKind) (State, error) {
	state := State{}
	faults := make([]error, len(kinds)+1)
	tasks := []func(){func() { state.Trail, faults[len(kinds)] = e.trail.End(ctx) }}
	for i, kind := range kinds {
		tasks = append(tasks, func() { state.Held[kind], faults[i] = readHeld(ctx, e.store, kind) })
	}
	e.run(tasks)
	if err := errors.Join(faults...); err != nil {
		return State{}, Error.Wrap(err)
	}
	return state, completeTrail(ctx, e.trail, &state)
}

// runAtOnce runs all tasks at once and waits for them.
func runAtOnce(tasks []func()) {
	var running sync.WaitGroup
	for _, task := range tasks {
		running.Go(task)
	}
	running.Wait()
}

// completeTrail appends the newest entry of each document whose writer died, or
// lost the platform, before its audit write. Every write of a document comes
// after this, so that the trail lacks at most the newest entry of each.
func completeTrail(ctx context.Context, trail *audit.Trail, state *State) error {
	for _, document := range state.Documents() {
		if state.Trail.Accepted[document.Content.Kind()] >= document.Header.Revision {
			continue
		}
		record, err := audit.AcceptedRecord(document)
		if err != nil {
			return Error.Wrap(err)
		}
		end, err := trail.Append(ctx, record, document.Header.AuditHead)
		if err != nil {
			return Error.Wrap(err)
		}
		state.Trail = end
	}
	return nil
}

// readUsage reads what customers have used in a month.
func readUsage(ctx context.Context, store platform.Store, month billing.Month) (billing.Usage, error) {
	entries, err := store.List(ctx, meteringPrefix)
	if err != nil {
		return billing.Usage{}, Error.Wrap(err)
	}
	var shards []billing.Totals
	for _, entry := range entries {
		totals, err := billing.DecodeTotals(entry.Value)
		if err != nil {
			return billing.Usage{}, Error.New("%s: %w", entry.Key, err)
		}
		shards = append(shards, totals)
	}
	return billing.NewUsage(month, shards), nil
}
