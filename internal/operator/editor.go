package operator

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/balsamlink/balsamlink/internal/audit"
	"github.com/balsamlink/balsamlink/internal/billing"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/platform"
)

// maxMergeAttempts limits the attempts of a change that can be made on top of any
// other change.
const maxMergeAttempts = 16

// Editor changes the operators' documents. Every accepted and every refused change
// becomes an entry of the audit trail.
type Editor struct {
	store  platform.Store
	trail  *audit.Trail
	author string

	// The functions below are replaced in tests, so that a run can be repeated.

	now   func() time.Time
	newID func() string
	// pause waits before a further attempt.
	pause func(ctx context.Context, attempt int) error
	// runTasks runs all tasks and returns when they have ended.
	runTasks func(tasks []func())

	// OnAccepted is called with each accepted change immediately, before the audit
	// trail is written. It may be nil.
	OnAccepted func(Result)
}

// NewEditor returns an editor that records author as the author of its changes.
func NewEditor(store platform.Store, author string) *Editor {
	return &Editor{
		store: store, trail: audit.NewTrail(store), author: author,
		now: time.Now, newID: uuid.NewString, pause: backOff, runTasks: runConcurrently,
	}
}

// Result is the result of a change to one document.
type Result struct {
	Document string `json:"document"`
	Changed  bool   `json:"changed"`
	// From and Revision are the revisions before and after the change.
	From     model.Revision `json:"from"`
	Revision model.Revision `json:"revision"`
	ChangeID string         `json:"change_id,omitempty"`
	// Differences are those that the change made.
	Differences []plan.Difference `json:"differences"`
	// AuditError is why the change is not in the audit trail yet. The next command
	// records it.
	AuditError string `json:"unrecorded,omitempty"`

	// kind is that of the document, and body its stored form.
	kind model.DocumentKind
	body []byte
}

// Conditions are the operator's conditions on a change.
type Conditions struct {
	// IfRevision holds the revisions that the change was made for; the change is
	// refused when another one is in force.
	IfRevision map[model.DocumentKind]model.Revision
	// ConfirmReductions allows the change to reduce customers' allowances below
	// what they have used this month. The flag for it is --confirm-cut.
	ConfirmReductions bool
}

// Apply makes the given contents, each of a different kind, the current ones and
// returns the results, those of written documents first. Contents that are already
// in force change nothing. It returns a *Refusal when the change is not accepted.
// Several documents are written one after the other: if one fails, the error
// concerns that one, and the results are those of the documents before it.
func (e *Editor) Apply(ctx context.Context, contents []plan.Content, conditions Conditions) ([]Result, error) {
	state, err := e.readState(ctx, model.DocumentCustomers, model.DocumentPlans, model.DocumentOutOfService)
	if err != nil {
		return nil, err
	}
	steps := stepsOf(state, contents)
	if err := e.checkChange(ctx, state, contents, steps, conditions); err != nil {
		return nil, e.recordRefusal(ctx, state, contents, err)
	}
	results := []Result{}
	for _, content := range steps {
		result, err := e.write(ctx, &state, content)
		if err != nil {
			return results, e.recordRefusal(ctx, state, []plan.Content{content}, err)
		}
		results = append(results, result)
	}
	return append(results, unchangedResults(state, contents, results)...), nil
}

// stepsOf returns the contents to write, in the order of writing. A given document
// that does not exist yet is written even if its content is empty.
func stepsOf(state StoredState, contents []plan.Content) []plan.Content {
	current, wanted := state.Lists(), wantedLists(state, contents)
	// plan.Steps also returns a list that does not exist yet. It must not be written
	// unless it is given.
	steps := slices.DeleteFunc(plan.Steps(current, wanted), func(content plan.Content) bool {
		return !contains(contents, content.Kind())
	})
	for _, content := range contents {
		stored := state.Stored[content.Kind()]
		included := contains(steps, content.Kind())
		if !included && (!stored.Exists() || !plan.Equal(stored.Document.Content, content)) {
			steps = append(steps, content)
		}
	}
	return steps
}

func wantedLists(state StoredState, contents []plan.Content) plan.Lists {
	wanted := state.Lists()
	for _, content := range contents {
		switch content := content.(type) {
		case plan.Customers:
			wanted.Customers = content
		case plan.Plans:
			wanted.Plans = content
		}
	}
	return wanted
}

// checkChange returns why a change is refused, or nil. A change whose contents are
// all in force is never refused, so that a command can be repeated. Failures of
// the platform also prevent a change, as it can't be checked without the platform.
func (e *Editor) checkChange(
	ctx context.Context, state StoredState, contents, steps []plan.Content, conditions Conditions,
) error {
	if len(steps) == 0 {
		return nil
	}
	for _, content := range contents {
		stored := state.Stored[content.Kind()]
		want, given := conditions.IfRevision[content.Kind()]
		if given && want != stored.Revision {
			return refuse(stored, ReasonRevision, content, "the change was made for revision %d", want)
		}
	}
	if !contains(steps, model.DocumentCustomers) && !contains(steps, model.DocumentPlans) {
		return nil
	}
	if refusal := checkOtherList(state, contents); refusal != nil {
		return refusal
	}
	before, after := state.Lists(), wantedLists(state, contents)
	if err := plan.CheckReferences(after.Customers, after.Plans); err != nil {
		return refuse(state.Stored[contents[0].Kind()], ReasonInvalid, contents[0], "%v", err)
	}
	if conditions.ConfirmReductions {
		return nil
	}
	usage, err := readUsage(ctx, e.store, billing.MonthOf(e.now()))
	if err != nil {
		return err
	}
	if reductions := billing.Reductions(before, after, usage); len(reductions) > 0 {
		refusal := refuse(state.Stored[contents[0].Kind()], ReasonReduction, contents[0], "allowances would be reduced below what customers have used")
		refusal.Reductions = reductions
		return refusal
	}
	return nil
}

// checkOtherList refuses to change one list while the stored other list is
// damaged.
func checkOtherList(state StoredState, contents []plan.Content) error {
	for _, kind := range []model.DocumentKind{model.DocumentCustomers, model.DocumentPlans} {
		stored := state.Stored[kind]
		if stored.Damaged != nil && !contains(contents, kind) {
			return refuse(stored, ReasonInvalid, nil, "the stored list is damaged; apply it too: %v", stored.Damaged)
		}
	}
	return nil
}

func contains(contents []plan.Content, kind model.DocumentKind) bool {
	return slices.ContainsFunc(contents, func(c plan.Content) bool { return c.Kind() == kind })
}

// Merge changes a document on top of whatever is in force. modify gets the content
// in force, nil if there is none, and returns the wanted one. When another change
// came first, Merge tries again, with at most maxMergeAttempts attempts in all.
func (e *Editor) Merge(
	ctx context.Context, kind model.DocumentKind, modify func(plan.Content) (plan.Content, error),
) (Result, error) {
	var lastErr error
	for attempt := range maxMergeAttempts {
		if err := e.pauseAfterRace(ctx, attempt); err != nil {
			return Result{}, errors.Join(lastErr, err)
		}
		state, err := e.readState(ctx, kind)
		if err != nil {
			return Result{}, err
		}
		stored := state.Stored[kind]
		if stored.Damaged != nil {
			return Result{}, Error.New("document %s is damaged; apply a complete list: %w", kind, stored.Damaged)
		}
		wanted, err := modify(stored.Document.Content)
		if err != nil {
			return Result{}, err
		}
		if len(plan.Diff(stored.Document.Content, wanted)) == 0 {
			return unchangedResult(stored), nil
		}
		result, err := e.write(ctx, &state, wanted)
		if !isRace(err) {
			return result, err
		}
		lastErr = err
		if attempt == maxMergeAttempts-1 {
			lastErr = e.recordRefusal(ctx, state, []plan.Content{wanted}, err)
		}
	}
	return Result{}, lastErr
}

// pauseAfterRace gives the winner of a race time to write its audit entry.
func (e *Editor) pauseAfterRace(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return nil
	}
	return Error.Wrap(e.pause(ctx, attempt))
}

// write writes one content on top of the state, and updates the state.
func (e *Editor) write(ctx context.Context, state *StoredState, content plan.Content) (Result, error) {
	if err := completeTrail(ctx, e.trail, state); err != nil {
		return Result{}, err
	}
	stored := state.Stored[content.Kind()]
	next, err := e.propose(*state, stored, content)
	if err != nil {
		return Result{}, err
	}
	version, err := e.put(ctx, next)
	if errors.Is(err, errSuperseded) {
		return Result{}, e.raceRefusal(ctx, stored, content)
	}
	if err != nil {
		return Result{}, err
	}
	header := next.document.Header
	result := Result{
		Document: stored.Kind.String(), Changed: true, From: stored.Revision, Revision: header.Revision,
		ChangeID: header.ChangeID, Differences: plan.Diff(stored.Document.Content, content),
		kind: stored.Kind, body: next.body,
	}
	state.Stored[stored.Kind] = StoredDocument{
		Kind: stored.Kind, Document: next.document, Revision: header.Revision, version: version, body: next.body,
	}
	if e.OnAccepted != nil {
		e.OnAccepted(result)
	}
	if err := completeTrail(ctx, e.trail, state); err != nil {
		result.AuditError = err.Error()
	}
	return result, nil
}

// propose builds the next version of a document. Its revision is above all that
// were ever accepted, even if the platform has lost the document.
func (e *Editor) propose(state StoredState, stored StoredDocument, content plan.Content) (proposal, error) {
	lines := plan.Describe(plan.Diff(stored.Document.Content, content))
	record := audit.Record{Author: e.author, Time: e.now(), Changes: lines}.Truncated()
	document := plan.Document{Content: content, Header: plan.Header{
		Revision: max(stored.Revision, state.Trail.Accepted[stored.Kind]) + 1,
		Base:     stored.Revision, ChangeID: e.newID(), Author: record.Author, Time: record.Time,
		Changes: record.Changes, AuditHead: state.Trail.Head,
	}}
	body, err := document.Encode()
	return proposal{document: document, body: body, expect: stored.version}, Error.Wrap(err)
}

// raceRefusal returns the refusal of a change that lost a race against another
// one.
func (e *Editor) raceRefusal(ctx context.Context, stored StoredDocument, content plan.Content) error {
	current, err := readStored(ctx, e.store, stored.Kind)
	if err != nil {
		current = stored
	}
	const detail = "revision %d was accepted before this change, which was made for revision %d"
	return refuse(current, ReasonRace, content, detail, current.Revision, stored.Revision)
}

// recordRefusal appends a refusal to the audit trail, for each document that was
// to change. Other errors are no decision about the change; it returns them
// unchanged and records nothing.
func (e *Editor) recordRefusal(ctx context.Context, state StoredState, contents []plan.Content, cause error) error {
	var refusal *Refusal
	if !errors.As(cause, &refusal) {
		return cause
	}
	for _, content := range contents {
		stored := state.Stored[content.Kind()]
		hash, err := plan.ContentSHA256(content)
		if err == nil {
			_, err = e.trail.Append(ctx, audit.Record{
				ChangeID: e.newID(), Time: e.now(), Author: e.author, Document: stored.Kind.String(),
				Outcome: audit.Refused, From: stored.Revision, ContentSHA256: hash, Reason: refusal.summary(),
				Changes: plan.Describe(plan.Diff(stored.Document.Content, content)),
			}, stored.Document.Header.AuditHead)
		}
		if err != nil {
			refusal.AuditError = err.Error()
		}
	}
	return refusal
}

func isRace(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Reason == ReasonRace
}

func unchangedResults(state StoredState, contents []plan.Content, written []Result) []Result {
	var results []Result
	for _, content := range contents {
		wasWritten := slices.ContainsFunc(written, func(r Result) bool { return r.kind == content.Kind() })
		if !wasWritten {
			results = append(results, unchangedResult(state.Stored[content.Kind()]))
		}
	}
	return results
}

func unchangedResult(stored StoredDocument) Result {
	return Result{
		Document: stored.Kind.String(), From: stored.Revision, Revision: stored.Revision,
		Differences: []plan.Difference{}, kind: stored.Kind, body: stored.body,
	}
}
