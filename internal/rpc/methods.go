package rpc

// The methods of the system. A number is never used again for another method.
const (
	// MethodPing asks a peer for its freshness and revisions.
	MethodPing Method = 1
	// MethodAnnounce brings an agent's or balancer's own record to a balancer.
	MethodAnnounce Method = 2
	// MethodSync exchanges view digests and the records that differ.
	MethodSync Method = 3
	// MethodFetchDocument asks for one of the operators' documents.
	MethodFetchDocument Method = 4
	// MethodPushDocument brings a newer operators' document to a peer.
	MethodPushDocument Method = 5
	// MethodAllowanceSlice asks the keeper of a shard for slices of allowances.
	MethodAllowanceSlice Method = 6
	// MethodClaimKey claims an idempotency key at one of its homes.
	MethodClaimKey Method = 7
	// MethodReportOutcome tells a home how a claimed request ended.
	MethodReportOutcome Method = 8
	// MethodStatus asks a node for what balsamctl status shows.
	MethodStatus Method = 9
	// MethodOperatorState asks a node of the packet path for the operators' state.
	MethodOperatorState Method = 10
)
