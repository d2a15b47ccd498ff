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

// maxMergeAttempts bounds how often a change that can be made on top of any
// other is tried again.
const maxMergeAttempts = 16

// Editor changes the operators' documents. Every accepted and every refused
// change becomes an entry of the audit trail.
type Editor struct {
	store  platform.Store
	trail  *audit.Trail
	author string
	now    func() time.Time
	newID  func() string
	pause  func(ctx context.Context, attempt int) error
	run    func(tasks []func())

	// OnAccepted is called with each accepted change at once, before the audit
	// trail is written. It may be nil.
	OnAccepted func(Result)
}

// NewEditor returns an editor whose changes carry the author's name.
func NewEditor(store platform.Store, author string) *Editor {
	return &Editor{
		store: store, trail: audit.NewTrail(store), author: author,
		now: time.Now, newID: uuid.NewString, pause: pauseBetween, run: runAtOnce,
	}
}

// Result is what became of one document.
type Result struct {
	Document string         `json:"document"`
	Changed  bool           `json:"changed"`
	From     model.Revision `json:"from"`
	Revision model.Revision `json:"revision"`
	ChangeID string         `json:"change_id,omitempty"`
	// Differences are those that the change made.
	Differences []plan.Difference `json:"differences"`
	// Unrecorded tells why the change is not in the audit trail yet. The next
	// command records it.
	Unrecorded string `json:"unrecorded,omitempty"`

	kind model.DocumentKind
	body []byte
}

// Conditions are what an operator asks of a change.
type Conditions struct {
	// IfRevision holds the revisions that the change was made for.
	IfRevision map[model.DocumentKind]model.Revision
	// ConfirmCut accepts that customers are cut below what they have used.
	ConfirmCut bool
}

// Apply makes the given contents the current ones, each of another kind, and
// returns what became of the documents that were written. Contents that are in
// force already change nothing. It returns a *Refusal when the change is not
// accepted. Several documents are written one after the other: an error tells
// what became of the last, and the results what came before.
func (e *Editor) Apply(ctx context.Context, contents []plan.Content, conditions Conditions) ([]Result, error) {
	state, err := e.readState(ctx, model.DocumentCustomers, model.DocumentPlans, model.DocumentOut)
	if err != nil {
		return nil, err
	}
	steps := stepsOf(state, contents)
	if refusal := e.judge(ctx, state, contents, steps, conditions); refusal != nil {
		return nil, e.recordRefusal(ctx, state, contents, refusal)
	}
	results := []Result{}
	for _, step := range steps {
		result, err := e.write(ctx, &state, step)
		if err != nil {
			return results, e.recordRefusal(ctx, state, []plan.Content{step}, err)
		}
		results = append(results, result)
	}
	return append(results, unchanged(state, contents, results)...), nil
}

// stepsOf returns the contents to write, in their order.
func stepsOf(state State, contents []plan.Content) []plan.Content {
	current, wanted := state.Lists(), wantedLists(state, contents)
	steps := slices.DeleteFunc(plan.Steps(current, wanted), func(step plan.Content) bool {
		return !contains(contents, step.Kind())
	})
	for _, content := range contents {
		held := state.Held[content.Kind()]
		listed := contains(steps, content.Kind())
		if !listed && (!held.Exists() || !plan.Equal(held.Document.Content, content)) {
			steps = append(steps, content)
		}
	}
	return steps
}

func wantedLists(state State, contents []plan.Content) plan.Lists {
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

// judge returns why a change is refused, or nil. What is in force already is
// never refused, so that a command may be given again. Failures of the platform refuse
// a change too, as it can't be judged without it.
func (e *Editor) judge(
	ctx context.Context, state State, contents, steps []plan.Content, conditions Conditions,
) error {
	if len(steps) == 0 {
		return nil
	}
	for _, content := range contents {
		held := state.Held[content.Kind()]
		want, asked := conditions.IfRevision[content.Kind()]
		if asked && want != held.Revision {
			return refuse(held, ReasonRevision, content, "the change was made for revision %d", want)
		}
	}
	if !contains(steps, model.DocumentCustomers) && !contains(steps, model.DocumentPlans) {
		return nil
	}
	if refusal := wholeLists(state, contents); refusal != nil {
		return refusal
	}
	before, after := state.Lists(), wantedLists(state, contents)
	if err := plan.CheckReferences(after.Customers, after.Plans); err != nil {
		return refuse(state.Held[contents[0].Kind()], ReasonInvalid, contents[0], "%v", err)
	}
	if conditions.ConfirmCut {
		return nil
	}
	usage, err := readUsage(ctx, e.store, billing.MonthOf(e.now()))
	if err != nil {
		return err
	}
	if cuts := billing.Reductions(before, after, usage); len(cuts) > 0 {
		refusal := refuse(state.Held[contents[0].Kind()], ReasonCut, contents[0], "customers would be cut below their use")
		refusal.Cuts = cuts
		return refusal
	}
	return nil
}

// wholeLists refuses to change one list while the other can't be read.
func wholeLists(state State, contents []plan.Content) error {
	for _, kind := range []model.DocumentKind{model.DocumentCustomers, model.DocumentPlans} {
		held := state.Held[kind]
		if held.Damaged != nil && !contains(contents, kind) {
			return refuse(held, ReasonInvalid, nil, "the stored list is damaged; apply it too: %v", held.Damaged)
		}
	}
	return nil
}

func contains(contents []plan.Content, kind model.DocumentKind) bool {
	return slices.ContainsFunc(contents, func(c plan.Content) bool { return c.Kind() == kind })
}

// Merge changes a document on top of whatever is in force, as often as other
// operators come before it.
func (e *Editor) Merge(
	ctx context.Context, kind model.DocumentKind, modify func(plan.Content) (plan.Content, error),
) (Result, error) {
	var last error
	for attempt := range maxMergeAttempts {
		if err := e.pauseAfterRace(ctx, attempt); err != nil {
			return Result{}, errors.Join(last, err)
		}
		state, err := e.readState(ctx, kind)
		if err != nil {
			return Result{}, err
		}
		held := state.Held[kind]
		if held.Damaged != nil {
			return Result{}, Error.New("document %s is damaged; apply a whole list: %w", kind, held.Damaged)
		}
		wanted, err := modify(held.Document.Content)
		if err != nil {
			return Result{}, err
		}
		if len(plan.Diff(held.Document.Content, wanted)) == 0 {
			return unchangedOf(held), nil
		}
		result, err := e.write(ctx, &state, wanted)
		if !isRace(err) {
			return result, err
		}
		last = err
		if attempt == maxMergeAttempts-1 {
			last = e.recordRefusal(ctx, state, []plan.Content{wanted}, err)
		}
	}
	return Result{}, last
}

// pauseAfterRace lets the winner of a race write its audit entry.
func (e *Editor) pauseAfterRace(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return nil
	}
	return Error.Wrap(e.pause(ctx, attempt))
}

// write writes one content on top of the state, which it brings up to date.
func (e *Editor) write(ctx context.Context, state *State, content plan.Content) (Result, error) {
	if err := completeTrail(ctx, e.trail, state); err != nil {
		return Result{}, err
	}
	held := state.Held[content.Kind()]
	p, err := e.propose(*state, held, content)
	if err != nil {
		return Result{}, err
	}
	version, err := e.put(ctx, p)
	if errors.Is(err, errLost) {
		return Result{}, e.lostRace(ctx, held, content)
	}
	if err != nil {
		return Result{}, err
	}
	header := p.document.Header
	result := Result{
		Document: held.Kind.String(), Changed: true, From: held.Revision, Revision: header.Revision,
		ChangeID: header.ChangeID, Differences: plan.Diff(held.Document.Content, content),
		kind: held.Kind, body: p.body,
	}
	state.Held[held.Kind] = Held{
		Kind: held.Kind, Document: p.document, Revision: header.Revision, version: version, body: p.body,
	}
	if e.OnAccepted != nil {
		e.OnAccepted(result)
	}
	if err := completeTrail(ctx, e.trail, state); err != nil {
		result.Unrecorded = err.Error()
	}
	return result, nil
}

// propose makes the next version of a document. Its revision rises above all
// that were ever accepted, also when the platform has lost the document.
func (e *Editor) propose(state State, held Held, content plan.Content) (proposal, error) {
	lines := plan.Describe(plan.Diff(held.Document.Content, content))
	record := audit.Record{Author: e.author, Time: e.now(), Changes: lines}.Bounded()
	document := plan.Document{Content: content, Header: plan.Header{
		Revision: max(held.Revision, state.Trail.Accepted[held.Kind]) + 1,
		Base:     held.Revision, ChangeID: e.newID(), Author: record.Author, Time: record.Time,
		Changes: record.Changes, AuditHead: state.Trail.Head,
	}}
	body, err := document.Encode()
	return proposal{document: document, body: body, expect: held.version}, Error.Wrap(err)
}

// lostRace returns the refusal of a change that another one came before.
func (e *Editor) lostRace(ctx context.Context, held Held, content plan.Content) error {
	current, err := readHeld(ctx, e.store, held.Kind)
	if err != nil {
		current = held
	}
	const detail = "revision %d came before this change, which was made for revision %d"
	return refuse(current, ReasonRace, content, detail, current.Revision, held.Revision)
}

// recordRefusal writes a refusal to the audit trail, for each document that was
// to change. Other errors are no decision and are passed on.
func (e *Editor) recordRefusal(ctx context.Context, state State, contents []plan.Content, cause error) error {
	var refusal *Refusal
	if !errors.As(cause, &refusal) {
		return cause
	}
	for _, content := range contents {
		held := state.Held[content.Kind()]
		hash, err := plan.ContentSHA256(content)
		if err == nil {
			_, err = e.trail.Append(ctx, audit.Record{
				ChangeID: e.newID(), Time: e.now(), Author: e.author, Document: held.Kind.String(),
				Outcome: audit.Refused, From: held.Revision, ContentSHA256: hash, Reason: refusal.summary(),
				Changes: plan.Describe(plan.Diff(held.Document.Content, content)),
			}, held.Document.Header.AuditHead)
		}
		if err != nil {
			refusal.Unrecorded = err.Error()
		}
	}
	return refusal
}

func isRace(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Reason == ReasonRace
}

func unchanged(state State, contents []plan.Content, written []Result) []Result {
	var results []Result
	for _, content := range contents {
		wasWritten := slices.ContainsFunc(written, func(r Result) bool { return r.kind == content.Kind() })
		if !wasWritten {
			results = append(results, unchangedOf(state.Held[content.Kind()]))
		}
	}
	return results
}

func unchangedOf(held Held) Result {
	return Result{
		Document: held.Kind.String(), From: held.Revision, Revision: held.Revision,
		Differences: []plan.Difference{}, kind: held.Kind, body: held.body,
	}
}
