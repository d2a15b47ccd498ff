package idempotency

import "github.com/balsamlink/balsamlink/internal/model"

// Decision is the state of a claim round after the answers received so far.
type Decision uint8

// The decisions.
const (
	// DecisionPending means that more answers are needed.
	DecisionPending Decision = iota
	// DecisionWon means that a majority granted the claim: the request may run.
	DecisionWon
	// DecisionLost means that a majority can no longer grant the claim and that
	// another claim holds the key at some replica.
	DecisionLost
	// DecisionReconfiguring means that the replica set is being replaced, or that
	// there is none yet; the same claim may be retried under the next one.
	DecisionReconfiguring
	// DecisionNoQuorum means that too few replicas answered.
	DecisionNoQuorum
	// DecisionFull means that too few replicas have capacity for another key.
	DecisionFull
)

// ClaimRound counts the answers of the replicas of one replica set to one claim of
// a key. Each replica's answer counts once.
type ClaimRound struct {
	replicaSet    ReplicaSet
	answered      map[model.NodeID]bool
	granted       int
	reconfiguring int
	full          int
	// holder is the answer with the most advanced state among those that report
	// that another claim holds the key.
	holder Response
	// newestSet is the newest replica set that an answer reported.
	newestSet ReplicaSet
}

// NewClaimRound returns the round of a claim that was sent to every member of the
// replica set.
func NewClaimRound(replicaSet ReplicaSet) *ClaimRound {
	return &ClaimRound{replicaSet: replicaSet, answered: map[model.NodeID]bool{}}
}

// HolderState returns the state of the request that holds the key and, once it is
// answered, its recorded answer.
func (c *ClaimRound) HolderState() (State, []byte) { return c.holder.State, c.holder.Answer }

// NewestSet returns the newest replica set that an answer reported.
func (c *ClaimRound) NewestSet() ReplicaSet { return c.newestSet }

// Fail records that a replica did not answer.
func (c *ClaimRound) Fail(replica model.NodeID) Decision {
	c.answered[replica] = true
	return c.decide()
}

// Answer records the answer of a replica. Further answers of the same replica are
// ignored.
func (c *ClaimRound) Answer(replica model.NodeID, response Response) Decision {
	if c.answered[replica] {
		return c.decide()
	}
	c.answered[replica] = true
	if response.NewestSet.ID.Epoch > c.newestSet.ID.Epoch {
		c.newestSet = response.NewestSet
	}
	switch response.Status {
	case StatusOK:
		c.granted++
	case StatusClaimed:
		if response.State > c.holder.State {
			c.holder = response
		}
	case StatusSealed, StatusNoTable:
		c.reconfiguring++
	case StatusFull:
		c.full++
	}
	return c.decide()
}

func (c *ClaimRound) decide() Decision {
	quorum := c.replicaSet.claimQuorum()
	outstanding := len(c.replicaSet.Members) - len(c.answered)
	switch {
	case len(c.replicaSet.Members) == 0:
		return DecisionReconfiguring
	case c.granted >= quorum:
		return DecisionWon
	case c.granted+outstanding >= quorum:
		return DecisionPending
	case c.holder.Status == StatusClaimed:
		return DecisionLost
	case c.reconfiguring > 0:
		return DecisionReconfiguring
	case c.full > 0:
		return DecisionFull
	default:
		return DecisionNoQuorum
	}
}
