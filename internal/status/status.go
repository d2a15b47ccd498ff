// Package status defines the messages by which a node tells what balsamctl
// status shows. They are the request and reply of rpc.MethodStatus.
package status

import (
	"net/netip"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
)

// Request asks a node for its report.
type Request struct {
	// Members asks for the nodes that the node knows as well.
	Members bool
}

// Report is what a node says of itself.
type Report struct {
	Node    model.NodeID     `json:"node"`
	Role    model.Role       `json:"-"`
	Zone    model.Zone       `json:"zone"`
	Service model.Service    `json:"service,omitempty"`
	State   membership.State `json:"-"`
	// Revisions are those of the documents in force at the node.
	Revisions model.Revisions `json:"-"`
	// ViewSize is the number of nodes that the node knows, itself included.
	ViewSize uint32    `json:"view_size"`
	Counters []Counter `json:"counters"`
	// Members is filled when the request asks for it.
	Members []Member `json:"-"`
}

// Counter is one of the node's metrics.
type Counter struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// Member is one node that another one knows.
type Member struct {
	Node    model.NodeID
	Role    model.Role
	Zone    model.Zone
	Service model.Service
	State   membership.State
	// Control is the TCP address for calls.
	Control netip.AddrPort
}

// MembersOf returns the nodes of a view that have not gone.
func MembersOf(view membership.View) []Member {
	members := make([]Member, 0, len(view.Records))
	for _, record := range view.Records {
		if record.State.Ended() {
			continue
		}
		members = append(members, Member{
			Node: record.Node, Role: record.Role, Zone: record.Zone,
			Service: record.Service, State: record.State, Control: record.Control,
		})
	}
	return members
}
