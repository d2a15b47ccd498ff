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
	claimTimeout  = 3 * time.Second
	claimValidity = 5 * time.Second
	// retryInterval is the time between two attempts to send a claim or an outcome
	// while the replica set is being replaced.
	retryInterval = 30 * time.Millisecond
	// maxAnswerSize is the size up to which an encoded answer is stored, in bytes.
	// For a larger one, only StateAnswered is stored.
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
	a := &claimAttempt{manager: m, key: keyID(key), claim: idempotency.ClaimID(randomID()), started: model.Now()}
	for {
		set := *m.replicaSet.Load()
		decision, round := a.requestClaim(ctx, set)
		switch decision {
		case idempotency.DecisionWon:
			if model.Now().Sub(a.started) <= claimValidity {
				return a, nil
			}
			a.Release()
			return nil, Error.New("the claim took too long")
		case idempotency.DecisionLost:
			a.Release()
			return nil, duplicateKeyError(round)
		case idempotency.DecisionReconfiguring:
			if err := a.wait(ctx, round); err != nil {
				a.Release()
				return nil, err
			}
		case idempotency.DecisionFull:
			a.Release()
			return nil, Error.New("too many idempotency keys are in use")
		default:
			a.Release()
			// The text is part of the HTTP answer: "homes" are the replicas.
			return nil, Error.New("too few homes of the idempotency key answer")
		}
	}
}

// ErrReconfiguring is returned when the replicas of a key were being replaced for
// the whole time that a claim may take. The request has not run.
//
// The text is part of the HTTP answer: "homes" are the replicas.
var ErrReconfiguring = errs.New("the homes of the idempotency key are being replaced")

// wait adopts the newer replica set that an answer reported. If there is none, it
// waits for retryInterval, so that one may come into force, and also requests a
// replacement, since a replica set whose replacement was interrupted stays sealed.
func (a *claimAttempt) wait(ctx context.Context, round *idempotency.ClaimRound) error {
	if a.manager.adopt(round.NewestSet()) {
		return nil
	}
	a.manager.replaceRequested.Store(true)
	a.manager.requestRefresh()
	select {
	case <-ctx.Done():
		return Error.Wrap(ErrReconfiguring)
	case <-time.After(retryInterval):
		return nil
	}
}

// requestClaim sends the claim to all members of a replica set at once and returns
// as soon as it is decided.
func (a *claimAttempt) requestClaim(ctx context.Context, set idempotency.ReplicaSet) (idempotency.Decision, *idempotency.ClaimRound) {
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
			response, err := a.manager.call(ctx, idempotency.Call{To: member, Request: idempotency.Request{
				Op: idempotency.OpClaim, ReplicaSet: set.ID, Key: a.key, Claim: a.claim,
			}})
			answers <- answer{member.Node, response, err}
		}()
	}
	decision := idempotency.DecisionPending
	for range set.Members {
		got := <-answers
		if got.err != nil {
			decision = round.Fail(got.from)
		} else {
			decision = round.Answer(got.from, got.response)
			a.checkReplica(got.response, set)
		}
		if decision != idempotency.DecisionPending {
			break
		}
	}
	return decision, round
}

// checkReplica requests a replacement of the replica set if the replica that
// answered has lost its records.
func (a *claimAttempt) checkReplica(response idempotency.Response, set idempotency.ReplicaSet) {
	if response.Status == idempotency.StatusNoTable && response.NewestSet.ID.Epoch <= set.ID.Epoch {
		a.manager.replaceRequested.Store(true)
	}
}

// Release implements request.Claim.
func (a *claimAttempt) Release() { a.sendOutcome(idempotency.Request{Op: idempotency.OpRelease}) }

// RecordUnknown implements request.Claim.
func (a *claimAttempt) RecordUnknown() {
	a.sendOutcome(idempotency.Request{Op: idempotency.OpOutcome, State: idempotency.StateUnknown})
}

// RecordResponse implements request.Claim.
func (a *claimAttempt) RecordResponse(stored request.StoredResponse) {
	answer, err := codec.Marshal(&stored)
	if err != nil || len(answer) > maxAnswerSize {
		answer = nil
	}
	a.sendOutcome(idempotency.Request{Op: idempotency.OpOutcome, State: idempotency.StateAnswered, Answer: answer})
}

// sendOutcome sends the outcome or the release of a claim to all replicas in the
// background, and sends it again while the replica set is being replaced. If it
// doesn't arrive, the key stays claimed until its record expires.
func (a *claimAttempt) sendOutcome(message idempotency.Request) {
	m := a.manager
	select {
	case m.outcomeSlots <- struct{}{}:
	default:
		return
	}
	message.Key, message.Claim = a.key, a.claim
	m.running.Go(func() {
		defer func() { <-m.outcomeSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		for !a.sendAll(ctx, message) && ctx.Err() == nil {
			m.requestRefresh()
			sleep(ctx, retryInterval)
		}
	})
}

// sendAll reports whether every replica that answered has carried out the message.
func (a *claimAttempt) sendAll(ctx context.Context, message idempotency.Request) bool {
	set := *a.manager.replicaSet.Load()
	message.ReplicaSet = set.ID
	sent := make(chan bool, len(set.Members))
	for _, member := range set.Members {
		go func() {
			response, err := a.manager.call(ctx, idempotency.Call{To: member, Request: message})
			if err == nil {
				a.manager.adopt(response.NewestSet)
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

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// duplicateKeyError returns the error for a claim that was lost to another claim of
// the key.
func duplicateKeyError(round *idempotency.ClaimRound) error {
	state, encoded := round.HolderState()
	duplicate := &request.DuplicateKeyError{Outcome: request.OutcomeInProgress}
	switch state {
	case idempotency.StateUnknown:
		duplicate.Outcome = request.OutcomeUnknown
	case idempotency.StateAnswered:
		duplicate.Outcome = request.OutcomeAlreadyRun
		if len(encoded) == 0 || codec.Unmarshal(encoded, &duplicate.Response) != nil {
			duplicate.Response = request.StoredResponse{}
		}
	}
	return duplicate
}

// keyID hashes a key. The length of each part is hashed before the part, so that different
// keys never hash the same bytes.
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
