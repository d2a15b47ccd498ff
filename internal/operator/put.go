package operator

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/platform"
)

const (
	// maxPutAttempts limits the attempts to write one change. The last attempt
	// writes nothing and only resolves the outcome of the one before.
	maxPutAttempts = 6
	// basePause is doubled with each attempt, up to maxPause. See backOff.
	basePause = 50 * time.Millisecond
	maxPause  = time.Second
)

// proposal is the next version of a document, not yet written.
type proposal struct {
	document plan.Document
	body     []byte
	expect   platform.Version
}

func (p proposal) kind() model.DocumentKind { return p.document.Content.Kind() }

// put writes a proposal and returns the version of its key, 0 if a later change has
// already been made on top. It returns errSuperseded when another change was
// accepted first. If the answer of a write is lost, its outcome is resolved by
// reading: the document or, when another change was made on top, the audit trail
// shows whose change created the revision. The write is repeated only after a read
// has shown that the key still has the version that it expects, so at most one of
// the writes takes effect. Any other error is ErrOutcomeUnknown, or means that
// nothing was written.
func (e *Editor) put(ctx context.Context, p proposal) (platform.Version, error) {
	unknown := false
	var last error
	for attempt := range maxPutAttempts {
		version, err := e.resolveBeforeRetry(ctx, p, attempt)
		if err == nil || errors.Is(err, errSuperseded) {
			return version, err
		}
		if !errors.Is(err, errNotWritten) {
			last = err
			continue
		}
		if attempt == maxPutAttempts-1 {
			break
		}
		version, err = e.store.Put(ctx, platform.Write{Key: documentKey(p.kind()), Value: p.body, Expect: p.expect})
		if err == nil {
			return version, nil
		}
		if errors.Is(err, platform.ErrTooLarge) {
			return 0, Error.Wrap(err)
		}
		unknown = unknown || !hadNoEffect(err)
		last = err
	}
	if unknown {
		return 0, Error.New("%w: change %s: %w", ErrOutcomeUnknown, p.document.Header.ChangeID, last)
	}
	return 0, Error.New("nothing was written: %w", last)
}

// hadNoEffect reports whether an error of a write guarantees that it had no
// effect.
func hadNoEffect(err error) bool {
	for _, harmless := range []error{platform.ErrUnavailable, platform.ErrConflict, platform.ErrOverBudget} {
		if errors.Is(err, harmless) {
			return true
		}
	}
	return false
}

var (
	// errNotWritten means that the key still has the version that a proposal
	// expects.
	errNotWritten = errs.New("proposal not written")
	// errSuperseded means that another change was accepted instead of a proposal.
	errSuperseded = errs.New("another change came first")
)

// resolveBeforeRetry pauses and resolves the outcome of the previous attempt.
// Before the first attempt there is none, and it returns errNotWritten.
func (e *Editor) resolveBeforeRetry(ctx context.Context, p proposal, attempt int) (platform.Version, error) {
	if attempt == 0 {
		return 0, errNotWritten
	}
	if err := e.pause(ctx, attempt); err != nil {
		return 0, Error.Wrap(err)
	}
	return e.resolveOutcome(ctx, p)
}

// resolveOutcome reads whether a proposal was accepted. It returns the version of
// its key, or 0 when a later change was made on top; or else errNotWritten,
// errSuperseded or a read error.
func (e *Editor) resolveOutcome(ctx context.Context, p proposal) (platform.Version, error) {
	stored, err := readStored(ctx, e.store, p.kind())
	if err != nil {
		return 0, err
	}
	if stored.version == p.expect {
		return 0, errNotWritten
	}
	if stored.Document.Header.ChangeID == p.document.Header.ChangeID {
		return stored.version, nil
	}
	entry, found, err := e.trail.AcceptedAt(ctx, p.kind(), p.document.Header.Revision)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if !found || entry.ChangeID != p.document.Header.ChangeID {
		return 0, errSuperseded
	}
	return 0, nil
}

// backOff waits before an attempt, which counts from 1 here. The pause is chosen at
// random between half and all of basePause<<attempt, or of maxPause if that is
// less. It fails when the context has ended.
func backOff(ctx context.Context, attempt int) error {
	pause := min(basePause<<attempt, maxPause)
	timer := time.NewTimer(pause/2 + rand.N(pause/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
