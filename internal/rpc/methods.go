package rpc

// The methods of the system. A number is never used again for another method.
const (
	// MethodPing asks a peer for its freshness and revisions.
	MethodPing Method = 1
	// MethodAnnounce brings an agent's or balancer's own record to a balancer.
	MethodAnnounce Method = 2
	// MethodSync exchanges view digests and the records that differ.
	MethodSync Method = 3
	// MethodDocument asks for one of the operators' documents.
	MethodDocument Method = 4
	// MethodOffer brings a newer operators' document to a peer.
	MethodOffer Method = 5
	// MethodSlice asks the keeper of a shard for slices of allowances.
	MethodSlice Method = 6
	// MethodClaim claims an idempotency key at one of its homes.
	MethodClaim Method = 7
	// MethodOutcome tells a home how a claimed request ended.
	MethodOutcome Method = 8
	// MethodStatus asks a node for what balsamctl status shows.
	MethodStatus Method = 9
	// MethodState asks a node of the packet path for the operators' state.
	MethodState Method = 10
)
