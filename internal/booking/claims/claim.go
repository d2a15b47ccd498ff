package claims

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/booking"
	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/request"
)

const (
	// claimTimeout bounds a claim, and freshFor is how long after its start a
	// claim may still lead to a run. Both are far below the lifetime of a record.
	claimTimeout = 3 * time.Second
	freshFor     = 5 * time.Second
	movedPause   = 30 * time.Millisecond
	// maxAnswer is the size of an encoded answer that is kept, in bytes.
	maxAnswer = 4 << 10
)

// try is one try to claim a key.
type try struct {
	keeper  *Keeper
	key     booking.KeyID
	claim   booking.ClaimID
	started model.Instant
}

// Claim implements request.Claims.
func (k *Keeper) Claim(ctx context.Context, key request.Key) (request.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	t := &try{keeper: k, key: keyID(key), claim: booking.ClaimID(random()), started: model.Now()}
	for {
		roster := *k.roster.Load()
		decision, claimant := t.ask(ctx, roster)
		switch decision {
		case booking.DecisionWon:
			if model.Now().Sub(t.started) <= freshFor {
				return t, nil
			}
			t.Release()
			return nil, Error.New("the claim took too long")
		case booking.DecisionLost:
			t.Release()
			return nil, knownError(claimant)
		case booking.DecisionMoved:
			if err := t.wait(ctx, claimant); err != nil {
				t.Release()
				return nil, err
			}
		case booking.DecisionFull:
			t.Release()
			return nil, Error.New("too many idempotency keys are in use")
		default:
			t.Release()
			return nil, Error.New("too few homes of the idempotency key answer")
		}
	}
}

// ErrReplacing tells that the homes of a key were being replaced for the whole
// time that a claim may take. The request has not run.
var ErrReplacing = errs.New("the homes of the idempotency key are being replaced")

// wait lets a roster that is being replaced settle.
func (t *try) wait(ctx context.Context, claimant *booking.Claimant) error {
	if t.keeper.adopt(claimant.Newest()) {
		return nil
	}
	t.keeper.unwell.Store(true)
	t.keeper.look()
	select {
	case <-ctx.Done():
		return Error.Wrap(ErrReplacing)
	case <-time.After(movedPause):
		return nil
	}
}

// ask asks all homes of a roster at once and returns when it is decided.
func (t *try) ask(ctx context.Context, roster booking.Roster) (booking.Decision, *booking.Claimant) {
	claimant := booking.NewClaimant(roster)
	if len(roster.Members) == 0 {
		return booking.DecisionMoved, claimant
	}
	type answer struct {
		from     model.NodeID
		response booking.Response
		err      error
	}
	answers := make(chan answer, len(roster.Members))
	for _, member := range roster.Members {
		go func() {
			response, err := t.keeper.call(ctx, booking.Call{To: member, Request: booking.Request{
				Op: booking.OpClaim, Roster: roster.ID, Key: t.key, Claim: t.claim,
			}})
			answers <- answer{member.Node, response, err}
		}()
	}
	decision := booking.DecisionPending
	for range roster.Members {
		a := <-answers
		if a.err != nil {
			decision = claimant.Fail(a.from)
		} else {
			decision = claimant.Answer(a.from, a.response)
			t.notice(a.response, roster)
		}
		if decision != booking.DecisionPending {
			break
		}
	}
	return decision, claimant
}

// notice takes note of a home that has lost its memory.
func (t *try) notice(response booking.Response, roster booking.Roster) {
	if response.Status == booking.StatusNoTable && response.Newest.ID.Epoch <= roster.ID.Epoch {
		t.keeper.unwell.Store(true)
	}
}

// Release implements request.Claim.
func (t *try) Release() { t.settle(booking.Request{Op: booking.OpRelease}) }

// RecordUnknown implements request.Claim.
func (t *try) RecordUnknown() {
	t.settle(booking.Request{Op: booking.OpOutcome, State: booking.StateUnknown})
}

// RecordResponse implements request.Claim.
func (t *try) RecordResponse(stored request.StoredResponse) {
	answer, err := codec.Marshal(&stored)
	if err != nil || len(answer) > maxAnswer {
		answer = nil
	}
	t.settle(booking.Request{Op: booking.OpOutcome, State: booking.StateAnswered, Answer: answer})
}

// settle sends the end of a claim to all homes. What doesn't arrive leaves the
// key in use until its lifetime ends.
func (t *try) settle(message booking.Request) {
	k := t.keeper
	select {
	case k.settling <- struct{}{}:
	default:
		return
	}
	message.Key, message.Claim = t.key, t.claim
	k.running.Go(func() {
		defer func() { <-k.settling }()
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		for !t.sendAll(ctx, message) && ctx.Err() == nil {
			k.look()
			pause(ctx, movedPause)
		}
	})
}

// sendAll reports whether no home said that its roster is being replaced.
func (t *try) sendAll(ctx context.Context, message booking.Request) bool {
	roster := *t.keeper.roster.Load()
	message.Roster = roster.ID
	settled := make(chan bool, len(roster.Members))
	for _, member := range roster.Members {
		go func() {
			response, err := t.keeper.call(ctx, booking.Call{To: member, Request: message})
			if err == nil {
				t.keeper.adopt(response.Newest)
			}
			settled <- err != nil || response.Status == booking.StatusDone
		}()
	}
	all := true
	for range roster.Members {
		all = <-settled && all
	}
	return all
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func knownError(claimant *booking.Claimant) error {
	state, encoded := claimant.Known()
	known := &request.DuplicateKeyError{Outcome: request.OutcomeInProgress}
	switch state {
	case booking.StateUnknown:
		known.Outcome = request.OutcomeUnknown
	case booking.StateAnswered:
		known.Outcome = request.OutcomeAlreadyRun
		if len(encoded) == 0 || codec.Unmarshal(encoded, &known.Response) != nil {
			known.Response = request.StoredResponse{}
		}
	}
	return known
}

func keyID(key request.Key) booking.KeyID {
	hash := sha256.New()
	for _, part := range []string{string(key.Service), string(key.Customer), key.Key} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		hash.Write(size[:])
		hash.Write([]byte(part))
	}
	return booking.KeyID(hash.Sum(nil)[:16])
}
