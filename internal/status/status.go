// Package status defines the request and reply of rpc.MethodStatus, which
// balsamctl status uses.
package status

import (
	"net/netip"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
)

// Request requests a node's report.
type Request struct {
	// Members requests the list of nodes that the node knows as well.
	Members bool
}

// Report is a node's report of itself. Its JSON form is part of the output of balsamctl
// status, which shows role, state and revisions in a form of its own.
type Report struct {
	Node    model.NodeID     `json:"node"`
	Role    model.Role       `json:"-"`
	Zone    model.Zone       `json:"zone"`
	Service model.Service    `json:"service,omitempty"`
	State   membership.State `json:"-"`
	// Revisions are the revisions of the documents in force at the node.
	Revisions model.Revisions `json:"-"`
	// ViewSize is the number of nodes that the node knows, itself included.
	ViewSize uint32   `json:"view_size"`
	Metrics  []Metric `json:"counters"`
	// Members is set if the request asks for it.
	Members []Member `json:"-"`
}

// Metric is one of the node's metrics.
type Metric struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// Member is one node as known by another.
type Member struct {
	Node    model.NodeID
	Role    model.Role
	Zone    model.Zone
	Service model.Service
	State   membership.State
	// Control is the TCP address for calls between nodes.
	Control netip.AddrPort
}

// MembersOf returns the nodes of a view except those that no longer run.
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
