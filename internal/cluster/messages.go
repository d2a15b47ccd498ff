package cluster

import (
	"net/netip"
	"time"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
)

// Document is one of the operators' documents as the platform holds it.
type Document struct {
	Kind     model.DocumentKind
	Revision model.Revision
	Body     []byte
}

// DocumentRequest is the request of rpc.MethodDocument.
type DocumentRequest struct {
	Kind model.DocumentKind
	// Have is the revision that the caller holds, 0 for none.
	Have model.Revision
}

// SubmitReply is the reply of rpc.MethodOffer, whose request is a Document.
type SubmitReply struct {
	// Revisions are those that the peer holds after the offer.
	Revisions model.Revisions
}

// PingRequest is the request of rpc.MethodPing.
type PingRequest struct {
	Revisions model.Revisions
	// Suspect names a node of which the caller wants to know whether it lives;
	// usually empty.
	Suspect model.NodeID
	// From is the caller's control address, given while it has a new document.
	From netip.AddrPort
}

// PingReply tells how fresh a node is.
type PingReply struct {
	// AgeMillis is the age of the node's proof of freshness, in milliseconds
	// and rounded up. It is noProof when the node has none.
	AgeMillis int32
	Confirmed bool
	Revisions model.Revisions
	// Alive tells that the node is the one asked about, or heard from it a
	// short time ago.
	Alive bool
}

const noProof int32 = -1

func (r PingReply) age() (time.Duration, bool) {
	return time.Duration(r.AgeMillis) * time.Millisecond, r.AgeMillis >= 0
}

func (r PingReply) knowledge() membership.DocumentStatus {
	return membership.DocumentStatus{Revisions: r.Revisions, Confirmed: r.Confirmed}
}

// HeartbeatRequest is the request of rpc.MethodAnnounce: a heartbeat.
type HeartbeatRequest struct {
	Node        model.NodeID
	Incarnation uint64
	Version     uint64
	Revisions   model.Revisions
	// Record is sent at first, after a change and when the peer wants it.
	Record *membership.Record
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	Ping PingReply
	// Digest is over the records that the caller needs.
	Digest uint64
	// WantRecord asks for the caller's record.
	WantRecord bool
	// NewerRecord is a newer record of the caller itself that the peer holds.
	NewerRecord *membership.Record
}

// SyncRequest is the request of rpc.MethodSync. Every part may be empty.
type SyncRequest struct {
	Service model.Service
	// Buckets asks for the stamps of the buckets that differ.
	Buckets []uint32
	// Push brings records.
	Push []membership.Record
	// Want asks for records.
	Want []model.NodeID
}

// SyncReply answers a SyncRequest.
type SyncReply struct {
	DifferingBuckets []uint8
	Versions         []membership.RecordVersion
	Records          []membership.Record
}
