// Package operator implements operators' commands: it changes the operators'
// documents in the platform, which is the external key-value store, maintains the
// audit trail, pushes accepted documents to the nodes, and collects reports.
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

// Error is the class of all errors of this package.
var Error = errs.Class("operator")

// meteringPrefix precedes the shard number in the keys of the metering totals.
const meteringPrefix = "metering/"

// StoredDocument is one of the operators' documents as the platform stores it.
type StoredDocument struct {
	Kind model.DocumentKind
	// Document is the zero value when the platform has no document, or a damaged
	// one.
	Document plan.Document
	// Revision is set for damaged documents too, if it can be read.
	Revision model.Revision
	// Damaged is why the stored document cannot be used.
	Damaged error

	// version is that of the document's key, and body its value.
	version platform.Version
	body    []byte
}

// Exists reports whether the platform has an undamaged document.
func (d StoredDocument) Exists() bool { return d.Document.Content != nil }

// StoredState is what one command has read from the platform.
type StoredState struct {
	// Stored holds the documents by kind.
	Stored [model.DocumentCount]StoredDocument
	// Trail is the state at the end of the audit trail, which covers all
	// documents.
	Trail audit.ChainState
}

// Lists returns the lists of customers and plans, empty where there is none.
func (s StoredState) Lists() plan.Lists {
	lists := plan.Lists{Customers: plan.Customers{Customers: []plan.Customer{}}}
	if customers, ok := s.Stored[model.DocumentCustomers].Document.Content.(plan.Customers); ok {
		lists.Customers = customers
	}
	if plans, ok := s.Stored[model.DocumentPlans].Document.Content.(plan.Plans); ok {
		lists.Plans = plans
	}
	return lists
}

// Documents returns the undamaged documents.
func (s StoredState) Documents() []plan.Document {
	var documents []plan.Document
	for _, stored := range s.Stored {
		if stored.Exists() {
			documents = append(documents, stored.Document)
		}
	}
	return documents
}

func (s StoredState) revisions() model.Revisions {
	var revisions model.Revisions
	for i, stored := range s.Stored {
		revisions[i] = stored.Revision
	}
	return revisions
}

func documentKey(kind model.DocumentKind) string { return cluster.DocumentsPrefix + kind.String() }

// readStored reads one document. It is no error that the platform has none or a
// damaged one.
func readStored(ctx context.Context, store platform.Store, kind model.DocumentKind) (StoredDocument, error) {
	entry, err := store.Get(ctx, documentKey(kind))
	if errors.Is(err, platform.ErrNotFound) {
		return StoredDocument{Kind: kind}, nil
	}
	if err != nil {
		return StoredDocument{}, Error.Wrap(err)
	}
	stored := StoredDocument{Kind: kind, version: entry.Version, body: entry.Value}
	stored.Document, stored.Damaged = plan.DecodeDocument(kind, entry.Value)
	stored.Revision = stored.Document.Header.Revision
	if stored.Damaged != nil {
		stored.Revision = salvageRevision(entry.Value)
	}
	return stored, nil
}

// salvageRevision returns the revision of a damaged document, 0 if it cannot be
// read.
func salvageRevision(body []byte) model.Revision {
	var head struct {
		Revision model.Revision `json:"revision"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return 0
	}
	return head.Revision
}

// ReadDocuments reads all documents, but not the trail.
func ReadDocuments(ctx context.Context, store platform.Store) (StoredState, error) {
	var state StoredState
	for i := range state.Stored {
		stored, err := readStored(ctx, store, model.DocumentKind(i))
		if err != nil {
			return StoredState{}, err
		}
		state.Stored[i] = stored
	}
	return state, nil
}

// readState reads documents and the end of the trail, concurrently since the
// platform may be slow, and completes the trail. Kinds that are not given stay
// empty.
func (e *Editor) readState(ctx context.Context, kinds ...model.DocumentKind) (StoredState, error) {
	state := StoredState{}
	failures := make([]error, len(kinds)+1)
	tasks := []func(){func() { state.Trail, failures[len(kinds)] = e.trail.End(ctx) }}
	for i, kind := range kinds {
		tasks = append(tasks, func() { state.Stored[kind], failures[i] = readStored(ctx, e.store, kind) })
	}
	e.runTasks(tasks)
	if err := errors.Join(failures...); err != nil {
		return StoredState{}, Error.Wrap(err)
	}
	return state, completeTrail(ctx, e.trail, &state)
}

// runConcurrently runs all tasks concurrently and waits for them.
func runConcurrently(tasks []func()) {
	var running sync.WaitGroup
	for _, task := range tasks {
		running.Go(task)
	}
	running.Wait()
}

// completeTrail appends the newest entry of each document whose writer crashed, or
// lost the platform, before its audit write. It is called before every write of a
// document, so the trail lacks at most the newest entry of each document.
func completeTrail(ctx context.Context, trail *audit.Trail, state *StoredState) error {
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
