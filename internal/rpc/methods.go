package rpc

// The methods of all packages. The number of a retired method is never reused.
const (
	// MethodPing requests the revisions of a peer's documents, how long ago they were
	// verified to be current, and whether a node that may have failed is alive.
	MethodPing Method = 1
	// MethodHeartbeat sends an agent's or balancer's own membership record to a
	// balancer.
	MethodHeartbeat Method = 2
	// MethodSync exchanges digests of the membership views and the records that
	// differ.
	MethodSync Method = 3
	// MethodFetchDocument requests one of the operators' documents.
	MethodFetchDocument Method = 4
	// MethodPushDocument sends a newer operators' document to a peer.
	MethodPushDocument Method = 5
	// MethodAllowanceSlice requests slices of customers' allowances for an agent
	// from the balancer that owns the customers' shard of the ledger.
	MethodAllowanceSlice Method = 6
	// MethodClaimKey claims an idempotency key at one of its replicas.
	MethodClaimKey Method = 7
	// MethodReportOutcome reports to a replica how the request of a claimed
	// idempotency key ended.
	MethodReportOutcome Method = 8
	// MethodStatus requests the report that balsamctl status shows.
	MethodStatus Method = 9
	// MethodOperatorState requests the operators' state from a node of the packet
	// path.
	MethodOperatorState Method = 10
)
