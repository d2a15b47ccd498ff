package claims

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/codec"
	"github.com/balsamlink/balsamlink/internal/idempotency"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/request"
)

const (
	// claimTimeout bounds a claim. claimValidity is how long after its start a
	// claim may still lead to a run. Both are far below the lifetime of a record.
	claimTimeout     = 3 * time.Second
	claimValidity    = 5 * time.Second
	reconfigurePause = 30 * time.Millisecond
	// maxAnswerSize is the size up to which an encoded answer is stored, in bytes.
	maxAnswerSize = 4 << 10
)

// claimAttempt is one attempt to claim a key.
type claimAttempt struct {
	manager *Manager
	key     idempotency.KeyID
	claim   idempotency.ClaimID
	started model.Instant
}

// Claim implements request.Claims. It takes at most claimTimeout.
func (m *Manager) Claim(ctx context.Context, key request.Key) (request.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	t := &claimAttempt{manager: m, key: keyID(key), claim: idempotency.ClaimID(randomID()), started: model.Now()}
	for {
		set := *m.replicaSet.Load()
		decision, round := t.requestClaim(ctx, set)
		switch decision {
		case idempotency.DecisionWon:
			if model.Now().Sub(t.started) <= claimValidity {
				return t, nil
			}
			t.Release()
			return nil, Error.New("the claim took too long")
		case idempotency.DecisionLost:
			t.Release()
			return nil, knownError(round)
		case idempotency.DecisionReconfiguring:
			if err := t.wait(ctx, round); err != nil {
				t.Release()
				return nil, err
			}
		case idempotency.DecisionFull:
			t.Release()
			return nil, Error.New("too many idempotency keys are in use")
		default:
			t.Release()
			// The text is part of the HTTP answer and keeps the older word.
			return nil, Error.New("too few homes of the idempotency key answer")
		}
	}
}

// ErrReconfiguring is returned when the replicas of a key were being replaced for
// the whole time that a claim may take. The request has not run.
//
// The text is part of the HTTP answer and keeps the older word.
var ErrReconfiguring = errs.New("the homes of the idempotency key are being replaced")

// wait gives the replica set that replaces the current one time to come into
// force. It sets replicaLost, as a replica set whose replacement was interrupted
// stays sealed.
func (t *claimAttempt) wait(ctx context.Context, round *idempotency.ClaimRound) error {
	if t.manager.adopt(round.NewestSet()) {
		return nil
	}
	t.manager.replicaLost.Store(true)
	t.manager.requestRefresh()
	select {
	case <-ctx.Done():
		return Error.Wrap(ErrReconfiguring)
	case <-time.After(reconfigurePause):
		return nil
	}
}

// requestClaim sends the claim to all members of a replica set at once and returns
// as soon as it is decided.
func (t *claimAttempt) requestClaim(ctx context.Context, set idempotency.ReplicaSet) (idempotency.Decision, *idempotency.ClaimRound) {
	round := idempotency.NewClaimRound(set)
	if len(set.Members) == 0 {
		return idempotency.DecisionReconfiguring, round
	}
	type answer struct {
		from     model.NodeID
		response idempotency.Response
		err      error
	}
	answers := make(chan answer, len(set.Members))
	for _, member := range set.Members {
		go func() {
			response, err := t.manager.call(ctx, idempotency.Call{To: member, Request: idempotency.Request{
				Op: idempotency.OpClaim, ReplicaSet: set.ID, Key: t.key, Claim: t.claim,
			}})
			answers <- answer{member.Node, response, err}
		}()
	}
	decision := idempotency.DecisionPending
	for range set.Members {
		a := <-answers
		if a.err != nil {
			decision = round.Fail(a.from)
		} else {
			decision = round.Answer(a.from, a.response)
			t.checkReplica(a.response, set)
		}
		if decision != idempotency.DecisionPending {
			break
		}
	}
	return decision, round
}

// checkReplica detects a replica that has lost its records.
func (t *claimAttempt) checkReplica(response idempotency.Response, set idempotency.ReplicaSet) {
	if response.Status == idempotency.StatusNoTable && response.NewestSet.ID.Epoch <= set.ID.Epoch {
		t.manager.replicaLost.Store(true)
	}
}

// Release implements request.Claim.
func (t *claimAttempt) Release() { t.sendOutcome(idempotency.Request{Op: idempotency.OpRelease}) }

// RecordUnknown implements request.Claim.
func (t *claimAttempt) RecordUnknown() {
	t.sendOutcome(idempotency.Request{Op: idempotency.OpOutcome, State: idempotency.StateUnknown})
}

// RecordResponse implements request.Claim.
func (t *claimAttempt) RecordResponse(stored request.StoredResponse) {
	answer, err := codec.Marshal(&stored)
	if err != nil || len(answer) > maxAnswerSize {
		answer = nil
	}
	t.sendOutcome(idempotency.Request{Op: idempotency.OpOutcome, State: idempotency.StateAnswered, Answer: answer})
}

// sendOutcome sends the outcome of a claim to all replicas in the background. If
// it doesn't arrive, the key stays claimed until its record expires.
func (t *claimAttempt) sendOutcome(message idempotency.Request) {
	m := t.manager
	select {
	case m.outcomeSlots <- struct{}{}:
	default:
		return
	}
	message.Key, message.Claim = t.key, t.claim
	m.running.Go(func() {
		defer func() { <-m.outcomeSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		for !t.sendAll(ctx, message) && ctx.Err() == nil {
			m.requestRefresh()
			pause(ctx, reconfigurePause)
		}
	})
}

// sendAll reports whether every replica that answered has carried out the message.
func (t *claimAttempt) sendAll(ctx context.Context, message idempotency.Request) bool {
	set := *t.manager.replicaSet.Load()
	message.ReplicaSet = set.ID
	sent := make(chan bool, len(set.Members))
	for _, member := range set.Members {
		go func() {
			response, err := t.manager.call(ctx, idempotency.Call{To: member, Request: message})
			if err == nil {
				t.manager.adopt(response.NewestSet)
			}
			sent <- err != nil || response.Status == idempotency.StatusOK
		}()
	}
	all := true
	for range set.Members {
		all = <-sent && all
	}
	return all
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func knownError(round *idempotency.ClaimRound) error {
	state, encoded := round.HolderState()
	known := &request.DuplicateKeyError{Outcome: request.OutcomeInProgress}
	switch state {
	case idempotency.StateUnknown:
		known.Outcome = request.OutcomeUnknown
	case idempotency.StateAnswered:
		known.Outcome = request.OutcomeAlreadyRun
		if len(encoded) == 0 || codec.Unmarshal(encoded, &known.Response) != nil {
			known.Response = request.StoredResponse{}
		}
	}
	return known
}

func keyID(key request.Key) idempotency.KeyID {
	hash := sha256.New()
	for _, part := range []string{string(key.Service), string(key.Customer), key.Key} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		hash.Write(size[:])
		hash.Write([]byte(part))
	}
	return idempotency.KeyID(hash.Sum(nil)[:16])
}
