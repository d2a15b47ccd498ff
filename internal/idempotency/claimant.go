package idempotency

import "github.com/balsamlink/balsamlink/internal/model"

// Decision is what a claimant knows of its claim.
type Decision uint8

// The decisions.
const (
	// DecisionPending waits for more answers.
	DecisionPending Decision = iota
	// DecisionWon tells that the request may run.
	DecisionWon
	// DecisionLost tells that another has claimed the key.
	DecisionLost
	// DecisionMoved tells that the roster is being replaced; the same claim may
	// be tried under the next one.
	DecisionMoved
	// DecisionUnreachable tells that too few homes answered.
	DecisionUnreachable
	// DecisionFull tells that too few homes have room.
	DecisionFull
)

// Claimant claims one key under one roster. Each home's answer goes in once.
type Claimant struct {
	roster   Roster
	answered map[model.NodeID]bool
	granted  int
	moved    int
	full     int
	// known is the strongest state of those that hold the key.
	known Response
	// newest is the newest roster that a home told of.
	newest Roster
}

// NewClaimant makes a claimant that has asked every home of a roster.
func NewClaimant(roster Roster) *Claimant {
	return &Claimant{roster: roster, answered: map[model.NodeID]bool{}}
}

// Known returns what is known of the request that holds the key.
func (c *Claimant) Known() (State, []byte) { return c.known.State, c.known.Answer }

// Newest returns the newest roster that a home told of.
func (c *Claimant) Newest() Roster { return c.newest }

// Fail notes that a home gave no answer.
func (c *Claimant) Fail(home model.NodeID) Decision {
	c.answered[home] = true
	return c.decide()
}

// Answer notes the answer of a home.
func (c *Claimant) Answer(home model.NodeID, response Response) Decision {
	if c.answered[home] {
		return c.decide()
	}
	c.answered[home] = true
	if response.Newest.ID.Epoch > c.newest.ID.Epoch {
		c.newest = response.Newest
	}
	switch response.Status {
	case StatusDone:
		c.granted++
	case StatusKnown:
		if response.State > c.known.State {
			c.known = response
		}
	case StatusSealed, StatusNoTable:
		c.moved++
	case StatusFull:
		c.full++
	}
	return c.decide()
}

func (c *Claimant) decide() Decision {
	quorum := c.roster.claimQuorum()
	outstanding := len(c.roster.Members) - len(c.answered)
	switch {
	case len(c.roster.Members) == 0:
		return DecisionMoved
	case c.granted >= quorum:
		return DecisionWon
	case c.granted+outstanding >= quorum:
		return DecisionPending
	case c.known.Status == StatusKnown:
		return DecisionLost
	case c.moved > 0:
		return DecisionMoved
	case c.full > 0:
		return DecisionFull
	default:
		return DecisionUnreachable
	}
}
