package packetnode

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/observe"
)

// The paths of the admin endpoints, in addition to those of package observe.
const (
	// PathStatus is the path of the node's Status.
	PathStatus = "/status"
	// PathExplain is the path of the reasons behind the steering of a flow. The
	// query names the flow as "client:port>service:port".
	PathExplain = "/why"
	// QueryFlow is the query parameter of PathExplain.
	QueryFlow = "flow"
)

// statusTimeout limits the wait of a status request for the control goroutine.
const statusTimeout = time.Second

// Status is a node's report of itself to the operators.
type Status struct {
	VM      netip.Addr    `json:"vm"`
	Role    string        `json:"role"`
	Zone    model.Zone    `json:"zone"`
	Service model.Service `json:"service,omitempty"`
	State   string        `json:"state"`
	// Version is the version of the configuration in force, AsOf a version of
	// the store at which the operators' state was current, and AgeMillis the
	// time since it was last verified to be current.
	Version   uint64       `json:"version"`
	AsOf      uint64       `json:"as_of"`
	AgeMillis int64        `json:"age_ms"`
	ZonesOut  []model.Zone `json:"out"`
	Nodes     []NodeStatus `json:"nodes"`
}

// NodeStatus is what a node knows of another node.
type NodeStatus struct {
	VM      netip.Addr    `json:"vm"`
	Role    string        `json:"role"`
	Zone    model.Zone    `json:"zone"`
	Service model.Service `json:"service,omitempty"`
	State   string        `json:"state"`
	// SilentMillis is the time since the node's last heartbeat, or since it was
	// added to the table if none has been received.
	SilentMillis int64 `json:"heard_ms"`
	Load         Load  `json:"load"`
}

// ParseFlow decodes a flow as printed in logs, such as
// "100.64.0.7:40001>198.18.0.1:443". Both ends must be IPv4.
func ParseFlow(text string) (flow.Key, error) {
	client, service, found := strings.Cut(text, ">")
	if !found {
		return flow.Key{}, Error.New("flow %q; allowed: client:port>service:port", text)
	}
	var key flow.Key
	for _, end := range []struct {
		text string
		into *flow.Endpoint
	}{{client, &key.Client}, {service, &key.Service}} {
		address, err := netip.ParseAddrPort(end.text)
		if err != nil || !address.Addr().Is4() {
			return flow.Key{}, Error.New("end %q of a flow; allowed: an IPv4 address and a port", end.text)
		}
		*end.into = flow.EndpointOf(address)
	}
	return key, nil
}

// AdminHandler returns the handler of a node's admin endpoints. The function
// explain returns the reasons behind the steering of a flow, as lines of text.
func (n *Node) AdminHandler(explain func(now model.Instant, key flow.Key) []string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", observe.Handler(n.config.Metrics, observe.NewReadiness()))
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		status, ok := n.status()
		if !ok {
			http.Error(w, "the control goroutine is busy", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, status)
	})
	mux.HandleFunc("GET "+PathExplain, func(w http.ResponseWriter, r *http.Request) {
		key, err := ParseFlow(r.URL.Query().Get(QueryFlow))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, explain(model.Now(), key))
	})
	return mux
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// There is nothing to do when the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

// status returns the node's status, or false if the control goroutine does not
// answer in time.
func (n *Node) status() (Status, bool) {
	answer := make(chan Status, 1)
	n.Do(func(now model.Instant) { answer <- n.describe(now) })
	select {
	case status := <-answer:
		return status, true
	case <-time.After(statusTimeout):
		return Status{}, false
	}
}

// describe returns the node's status. It runs on the control goroutine.
func (n *Node) describe(now model.Instant) Status {
	state := State(n.state.Load())
	// Load decides only between the states up to StateOpen; restarting or gone, which
	// SetState has set, take precedence.
	if n.config.Load != nil && state <= StateOpen {
		state, _ = n.config.Load(now)
	}
	status := Status{
		VM: n.self.VM, Role: n.self.Role.String(), Zone: n.self.Zone, Service: n.self.Service, State: state.String(),
		AsOf: uint64(n.stateCache.document.AsOf), AgeMillis: n.stateCache.Age(now).Milliseconds(), ZonesOut: []model.Zone{}, Nodes: []NodeStatus{},
	}
	if known := n.stateCache.state; known != nil {
		for zone := range known.ZonesOut {
			status.ZonesOut = append(status.ZonesOut, zone)
		}
		if known.Config != nil {
			status.Version = known.Config.Version
		}
	}
	slices.Sort(status.ZonesOut)
	for vm, node := range n.table.nodes {
		status.Nodes = append(status.Nodes, NodeStatus{
			VM: vm, Role: node.Peer.Role.String(), Zone: node.Peer.Zone, Service: node.Peer.Service, State: node.State.String(),
			SilentMillis: now.Sub(max(node.LastHeartbeat, node.AddedAt)).Milliseconds(), Load: node.Load,
		})
	}
	slices.SortFunc(status.Nodes, func(a, b NodeStatus) int { return a.VM.Compare(b.VM) })
	return status
}
