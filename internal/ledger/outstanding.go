package ledger

import "github.com/balsamlink/balsamlink/internal/model"

// outstanding tracks the granted tokens of one account that may still be
// returned, oldest first.
type outstanding struct {
	total  uint32
	order  []*tokenGrant
	byNode map[model.NodeID][]*tokenGrant
}

// tokenGrant is the tokens granted to a node at an instant, in reply to the request
// with the number seq.
type tokenGrant struct {
	node   model.NodeID
	seq    uint64
	at     model.Instant
	tokens uint32
}

func (o *outstanding) add(node model.NodeID, seq uint64, at model.Instant, tokens uint32) {
	if tokens == 0 {
		return
	}
	if o.byNode == nil {
		o.byNode = map[model.NodeID][]*tokenGrant{}
	}
	grant := &tokenGrant{node: node, seq: seq, at: at, tokens: tokens}
	o.order = append(o.order, grant)
	o.byNode[node] = append(o.byNode[node], grant)
	o.total += tokens
}

// expire drops the grants made before an instant.
func (o *outstanding) expire(before model.Instant) {
	for len(o.order) > 0 && o.order[0].at < before {
		grant := o.order[0]
		o.order = o.order[1:]
		o.total -= grant.tokens
		o.byNode[grant.node] = o.byNode[grant.node][1:]
		if len(o.byNode[grant.node]) == 0 {
			delete(o.byNode, grant.node)
		}
	}
}

// returnTokens removes the tokens that a node returns and reports how many of
// them belonged to outstanding grants.
func (o *outstanding) returnTokens(node model.NodeID, returned []ReturnedTokens) uint32 {
	var accepted uint32
	for _, grant := range o.byNode[node] {
		for _, tokens := range returned {
			if tokens.Seq != grant.seq {
				continue
			}
			part := min(tokens.Tokens, grant.tokens)
			grant.tokens -= part
			accepted += part
		}
	}
	o.total -= accepted
	return accepted
}
