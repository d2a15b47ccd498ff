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
	// maxPutAttempts bounds the writes of one change.
	maxPutAttempts = 6
	firstPause     = 50 * time.Millisecond
	longestPause   = time.Second
)

// proposal is one version of a document on its way to the platform.
type proposal struct {
	document plan.Document
	body     []byte
	expect   platform.Version
}

func (p proposal) kind() model.DocumentKind { return p.document.Content.Kind() }

// put writes a proposal and returns the version of its key, or errLost when
// another change came before it. An answer that was
// lost is settled by reading: the document or, when another change came on top,
// the audit trail tells whose change made the revision. The write is repeated
// only after a reading showed that the key still has the version that it
// expects, so that at most one of the repeats takes effect. Any other error is
// ErrOutcomeUnknown, or tells that nothing was written.
func (e *Editor) put(ctx context.Context, p proposal) (platform.Version, error) {
	unknown := false
	var last error
	for attempt := range maxPutAttempts {
		version, err := e.settleAgain(ctx, p, attempt)
		if err == nil || errors.Is(err, errLost) {
			return version, err
		}
		if !errors.Is(err, errOpen) {
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
		unknown = unknown || !effectless(err)
		last = err
	}
	if unknown {
		return 0, Error.New("%w: change %s: %w", ErrOutcomeUnknown, p.document.Header.ChangeID, last)
	}
	return 0, Error.New("nothing was written: %w", last)
}

// effectless reports whether an error of a write tells that it had no effect.
func effectless(err error) bool {
	for _, sure := range []error{platform.ErrUnavailable, platform.ErrConflict, platform.ErrOverBudget} {
		if errors.Is(err, sure) {
			return true
		}
	}
	return false
}

var (
	// errOpen tells that the key still has the version that a proposal expects.
	errOpen = errs.New("not settled")
	// errLost tells that another change was accepted in place of a proposal.
	errLost = errs.New("another change came first")
)

// settleAgain settles all attempts but the first, after a pause.
func (e *Editor) settleAgain(ctx context.Context, p proposal, attempt int) (platform.Version, error) {
	if attempt == 0 {
		return 0, errOpen
	}
	if err := e.pause(ctx, attempt); err != nil {
		return 0, Error.Wrap(err)
	}
	return e.settle(ctx, p)
}

// settle reads whether a proposal was accepted. It returns the version of its
// key, or 0 when a later change has come on top; errOpen, errLost, or why it
// could not read.
func (e *Editor) settle(ctx context.Context, p proposal) (platform.Version, error) {
	held, err := readHeld(ctx, e.store, p.kind())
	if err != nil {
		return 0, err
	}
	if held.version == p.expect {
		return 0, errOpen
	}
	if held.Document.Header.ChangeID == p.document.Header.ChangeID {
		return held.version, nil
	}
	entry, found, err := e.trail.AcceptedAt(ctx, p.kind(), p.document.Header.Revision)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if !found || entry.ChangeID != p.document.Header.ChangeID {
		return 0, errLost
	}
	return 0, nil
}

// pauseBetween waits before an attempt. It fails when the context has ended.
func pauseBetween(ctx context.Context, attempt int) error {
	pause := min(firstPause<<attempt, longestPause)
	timer := time.NewTimer(pause/2 + rand.N(pause/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
