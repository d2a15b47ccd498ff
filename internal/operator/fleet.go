package operator

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/balsamlink/balsamlink/internal/cluster"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/rpc"
	"github.com/balsamlink/balsamlink/internal/status"
)

const (
	callTimeout = 2 * time.Second
	// maxCalls bounds the calls to nodes that are open at once.
	maxCalls = 32
	// waitInterval is the pause between two rounds of asking all nodes.
	waitInterval = 100 * time.Millisecond
)

// Fleet is the nodes of a deployment as an operator reaches them.
type Fleet struct {
	client *rpc.Client
	seeds  []netip.AddrPort
}

// NewFleet finds the seeds in the platform and adds the known ones. Without an
// answer of the platform the known ones must do.
func NewFleet(ctx context.Context, store platform.Store, client *rpc.Client, known []netip.AddrPort) *Fleet {
	fleet := &Fleet{client: client, seeds: slices.Clone(known)}
	entries, err := store.List(ctx, cluster.SeedsPrefix)
	if err != nil {
		return fleet
	}
	for _, entry := range entries {
		addr, err := netip.ParseAddrPort(string(entry.Value))
		if err == nil && !slices.Contains(fleet.seeds, addr) {
			fleet.seeds = append(fleet.seeds, addr)
		}
	}
	return fleet
}

// Spread tells what a seed said to an accepted document.
type Spread struct {
	Document string         `json:"document"`
	Seed     netip.AddrPort `json:"seed"`
	Error    string         `json:"error,omitempty"`
}

// PushDocument brings an accepted document to all seeds, so that it is in force even
// when the platform fails right after it accepted it.
func (f *Fleet) PushDocument(ctx context.Context, result Result) []Spread {
	spreads := make([]Spread, len(f.seeds))
	document := cluster.Document{Kind: result.kind, Revision: result.Revision, Body: result.body}
	each(len(f.seeds), func(i int) {
		spreads[i] = Spread{Document: result.Document, Seed: f.seeds[i]}
		_, err := call[cluster.Document, cluster.OfferReply](ctx, f.client, f.seeds[i], rpc.MethodPushDocument, document)
		if err != nil {
			spreads[i].Error = err.Error()
		}
	})
	return spreads
}

// NodeStatus is the report of one node, or why there is none.
type NodeStatus struct {
	Member status.Member
	Report *status.Report
	Error  string
}

// Status asks all nodes that the seeds know for their reports, in node order.
func (f *Fleet) Status(ctx context.Context) ([]NodeStatus, error) {
	members, err := f.members(ctx)
	if err != nil {
		return nil, err
	}
	nodes := make([]NodeStatus, len(members))
	each(len(members), func(i int) {
		nodes[i].Member = members[i]
		report, err := call[status.Request, status.Report](ctx, f.client, members[i].Control, rpc.MethodStatus, status.Request{})
		if err != nil {
			nodes[i].Error = err.Error()
			return
		}
		nodes[i].Report = &report
	})
	return nodes, nil
}

// members asks all seeds for the nodes that they know, since a seed that has just
// started or is cut off knows a part of them only. It returns them in node order.
func (f *Fleet) members(ctx context.Context) ([]status.Member, error) {
	if len(f.seeds) == 0 {
		return nil, Error.New("no seed is known: the platform lists none and the settings name none")
	}
	known := make([][]status.Member, len(f.seeds))
	faults := make([]error, len(f.seeds))
	each(len(f.seeds), func(i int) {
		request := status.Request{Members: true}
		report, err := call[status.Request, status.Report](ctx, f.client, f.seeds[i], rpc.MethodStatus, request)
		known[i], faults[i] = report.Members, err
	})
	if !slices.Contains(faults, nil) {
		return nil, Error.New("no seed answers: %w", errors.Join(faults...))
	}
	members := slices.Concat(known...)
	slices.SortFunc(members, func(a, b status.Member) int { return cmp.Compare(a.Node, b.Node) })
	return slices.CompactFunc(members, func(a, b status.Member) bool { return a.Node == b.Node }), nil
}

// Knows reports whether a seed knows a node of the zone, or of the name; false
// also when no seed answers.
func (f *Fleet) Knows(ctx context.Context, zone model.Zone, node model.NodeID) bool {
	members, err := f.members(ctx)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(members, func(m status.Member) bool { return m.Zone == zone || m.Node == node })
}

// InForce tells at how many nodes the wanted revisions are in force.
type InForce struct {
	Nodes int `json:"nodes"`
	// Behind names the nodes that are not known to be at the revisions.
	Behind []model.NodeID `json:"behind"`
	// Millis is how long it took, in milliseconds.
	Millis int64 `json:"millis"`
}

// Wait asks all nodes until each of them has the wanted revisions in force, or
// the context ends. The error tells that some are behind or can't be asked.
func (f *Fleet) Wait(ctx context.Context, wanted model.Revisions) (InForce, error) {
	began := time.Now()
	done := InForce{Behind: []model.NodeID{}}
	for {
		nodes, err := f.Status(ctx)
		if err == nil {
			done = inForce(nodes, wanted)
		}
		done.Millis = time.Since(began).Milliseconds()
		if err == nil && len(done.Behind) == 0 {
			return done, nil
		}
		select {
		case <-time.After(waitInterval):
			continue
		case <-ctx.Done():
		}
		if err != nil {
			return done, err
		}
		return done, Error.New("%w: %d of %d nodes are behind", ErrNotInForce, len(done.Behind), done.Nodes)
	}
}

func inForce(nodes []NodeStatus, wanted model.Revisions) InForce {
	found := InForce{Nodes: len(nodes), Behind: []model.NodeID{}}
	for _, node := range nodes {
		if node.Report == nil || !node.Report.Revisions.Covers(wanted) {
			found.Behind = append(found.Behind, node.Member.Node)
		}
	}
	return found
}

// Wanted returns the revisions that results have made or found.
func Wanted(results []Result) model.Revisions {
	var wanted model.Revisions
	for _, result := range results {
		wanted[result.kind] = max(wanted[result.kind], result.Revision)
	}
	return wanted
}

func call[Req, Resp any](
	ctx context.Context, client *rpc.Client, addr netip.AddrPort, method rpc.Method, request Req,
) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := rpc.Call[Req, Resp](ctx, client, addr, method, request)
	return response, Error.Wrap(err)
}

// each calls work for 0 to n-1, a bounded number at once, and waits for all.
func each(n int, work func(int)) {
	var running sync.WaitGroup
	slots := make(chan struct{}, maxCalls)
	for i := range n {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			work(i)
		})
	}
	running.Wait()
}
