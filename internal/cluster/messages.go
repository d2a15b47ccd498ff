package cluster

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
)

// Document is one of the operators' documents as stored in the platform.
type Document struct {
	Kind     model.DocumentKind
	Revision model.Revision
	Body     []byte
}

// DocumentRequest is the request of rpc.MethodFetchDocument.
type DocumentRequest struct {
	Kind model.DocumentKind
	// Have is the revision that the caller holds, 0 for none.
	Have model.Revision
}

// PushDocumentReply is the reply of rpc.MethodPushDocument, whose request is a
// Document.
type PushDocumentReply struct {
	// Revisions are those that the peer holds after handling the request.
	Revisions model.Revisions
}

// PingRequest is the request of rpc.MethodPing.
type PingRequest struct {
	// Revisions are those that the caller holds.
	Revisions model.Revisions
	// Suspect is a node whose liveness the caller asks about; usually empty.
	Suspect model.NodeID
	// From is the caller's control address, set for some time after it accepted
	// a new document, so that the peer can fetch it.
	From netip.AddrPort
}

// PingReply reports the freshness of a node.
type PingReply struct {
	// AgeMillis is the age of the node's verification time in milliseconds,
	// rounded up. If there is none that others may rely on, it is the constant
	// unverified.
	AgeMillis int32
	// Confirmed and Revisions have the meaning of the fields of
	// membership.DocumentStatus.
	Confirmed bool
	Revisions model.Revisions
	// Alive reports whether the replying node is the suspect or received a
	// heartbeat of it recently.
	Alive bool
}

// unverified is the AgeMillis of a node without a verification time that others
// may rely on.
const unverified int32 = -1

func (r PingReply) age() (time.Duration, bool) {
	return time.Duration(r.AgeMillis) * time.Millisecond, r.AgeMillis >= 0
}

func (r PingReply) documentStatus() membership.DocumentStatus {
	return membership.DocumentStatus{Revisions: r.Revisions, Confirmed: r.Confirmed}
}

// HeartbeatRequest is the request of rpc.MethodHeartbeat.
type HeartbeatRequest struct {
	// Node, Incarnation and Version are those of the caller's record.
	Node        model.NodeID
	Incarnation uint64
	Version     uint64
	// Revisions are those that the caller holds.
	Revisions model.Revisions
	// Record is set in the first heartbeat, after a change and when the peer
	// requested it.
	Record *membership.Record
}

// HeartbeatReply is the reply of rpc.MethodHeartbeat.
type HeartbeatReply struct {
	Ping PingReply
	// Digest covers the records in the caller's scope.
	Digest uint64
	// WantRecord requests the caller's record.
	WantRecord bool
	// NewerRecord is the caller's own record if the peer holds a newer one.
	NewerRecord *membership.Record
}

// SyncRequest is the request of rpc.MethodSync. Every field may be empty.
type SyncRequest struct {
	// Service is the caller's scope, as in membership.Scope.
	Service model.Service
	// Buckets holds the caller's bucket hashes; the reply lists those that
	// differ and the record versions in them.
	Buckets []uint32
	// Push holds records for the peer to merge.
	Push []membership.Record
	// Want lists nodes whose records are requested.
	Want []model.NodeID
}

// SyncReply is the reply of rpc.MethodSync.
type SyncReply struct {
	// DifferingBuckets lists the numbers of the buckets whose hashes differ, and
	// Versions the record versions that the replying node has in them.
	DifferingBuckets []uint8
	Versions         []membership.RecordVersion
	// Records holds the records requested with Want.
	Records []membership.Record
}
