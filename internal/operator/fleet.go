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
	// callTimeout is the time limit of one call to a node.
	callTimeout = 2 * time.Second
	// maxCalls limits the concurrent calls to nodes.
	maxCalls = 32
	// waitInterval is the pause between two status queries of all nodes.
	waitInterval = 100 * time.Millisecond
)

// Fleet gives access to the nodes of a deployment. It finds them by way of the
// seeds, which are balancers whose addresses are stored in the platform or
// configured.
type Fleet struct {
	client *rpc.Client
	seeds  []netip.AddrPort
}

// NewFleet returns a Fleet with the configured seeds and those that the platform
// lists. If the platform does not answer, it has the configured ones only.
func NewFleet(ctx context.Context, store platform.Store, client *rpc.Client, configured []netip.AddrPort) *Fleet {
	fleet := &Fleet{client: client, seeds: slices.Clone(configured)}
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

// PushResult is a seed's reply to an accepted document.
type PushResult struct {
	Document string         `json:"document"`
	Seed     netip.AddrPort `json:"seed"`
	Error    string         `json:"error,omitempty"`
}

// PushDocument sends an accepted document to all seeds, so that it comes into
// force even if the platform fails right after accepting it. Errors are reported
// in the results.
func (f *Fleet) PushDocument(ctx context.Context, result Result) []PushResult {
	results := make([]PushResult, len(f.seeds))
	document := cluster.Document{Kind: result.kind, Revision: result.Revision, Body: result.body}
	forEachIndex(len(f.seeds), func(i int) {
		results[i] = PushResult{Document: result.Document, Seed: f.seeds[i]}
		_, err := call[cluster.Document, cluster.PushDocumentReply](ctx, f.client, f.seeds[i], rpc.MethodPushDocument, document)
		if err != nil {
			results[i].Error = err.Error()
		}
	})
	return results
}

// NodeStatus is the report of one node, or the error of its query.
type NodeStatus struct {
	Member status.Member
	Report *status.Report
	Error  string
}

// Status queries all nodes that the seeds know for their reports. The result is in
// node order.
func (f *Fleet) Status(ctx context.Context) ([]NodeStatus, error) {
	members, err := f.members(ctx)
	if err != nil {
		return nil, err
	}
	nodes := make([]NodeStatus, len(members))
	forEachIndex(len(members), func(i int) {
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
// started or is separated by a network partition knows only some of them. The
// result is in node order.
func (f *Fleet) members(ctx context.Context) ([]status.Member, error) {
	if len(f.seeds) == 0 {
		return nil, Error.New("no seed is known: the platform lists none and the settings name none")
	}
	known := make([][]status.Member, len(f.seeds))
	failures := make([]error, len(f.seeds))
	forEachIndex(len(f.seeds), func(i int) {
		request := status.Request{Members: true}
		report, err := call[status.Request, status.Report](ctx, f.client, f.seeds[i], rpc.MethodStatus, request)
		known[i], failures[i] = report.Members, err
	})
	if !slices.Contains(failures, nil) {
		return nil, Error.New("no seed answers: %w", errors.Join(failures...))
	}
	members := slices.Concat(known...)
	slices.SortFunc(members, func(a, b status.Member) int { return cmp.Compare(a.Node, b.Node) })
	return slices.CompactFunc(members, func(a, b status.Member) bool { return a.Node == b.Node }), nil
}

// Knows reports whether a seed knows a node of the zone or with the name. It is
// false also when no seed answers.
func (f *Fleet) Knows(ctx context.Context, zone model.Zone, node model.NodeID) bool {
	members, err := f.members(ctx)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(members, func(m status.Member) bool { return m.Zone == zone || m.Node == node })
}

// InForce reports at how many nodes the required revisions are in force.
type InForce struct {
	Nodes int `json:"nodes"`
	// Behind names the nodes that are not known to have reached the revisions.
	Behind []model.NodeID `json:"behind"`
	// Millis is how long the wait took, in milliseconds.
	Millis int64 `json:"millis"`
}

// Wait queries all nodes until each of them has the required revisions in force,
// or the context ends. The error is ErrNotInForce when nodes were behind by then, also if
// the end of the context cut off one more query. It is the error of the last query if
// queries failed before that.
func (f *Fleet) Wait(ctx context.Context, required model.Revisions) (InForce, error) {
	started := time.Now()
	progress := InForce{Behind: []model.NodeID{}}
	answered := false
	for {
		nodes, err := f.Status(ctx)
		if err == nil {
			progress, answered = countInForce(nodes, required), true
		}
		progress.Millis = time.Since(started).Milliseconds()
		if err == nil && len(progress.Behind) == 0 {
			return progress, nil
		}
		select {
		case <-time.After(waitInterval):
			answered = err == nil
			continue
		case <-ctx.Done():
		}
		if !answered {
			return progress, err
		}
		return progress, Error.New("%w: %d of %d nodes are behind", ErrNotInForce, len(progress.Behind), progress.Nodes)
	}
}

func countInForce(nodes []NodeStatus, required model.Revisions) InForce {
	found := InForce{Nodes: len(nodes), Behind: []model.NodeID{}}
	for _, node := range nodes {
		if node.Report == nil || !node.Report.Revisions.Covers(required) {
			found.Behind = append(found.Behind, node.Member.Node)
		}
	}
	return found
}

// RequiredRevisions returns the revision of each document that the results created
// or found in force.
func RequiredRevisions(results []Result) model.Revisions {
	var required model.Revisions
	for _, result := range results {
		required[result.kind] = max(required[result.kind], result.Revision)
	}
	return required
}

func call[Req, Resp any](
	ctx context.Context, client *rpc.Client, addr netip.AddrPort, method rpc.Method, request Req,
) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := rpc.Call[Req, Resp](ctx, client, addr, method, request)
	return response, Error.Wrap(err)
}

// forEachIndex calls work for 0 to n-1, at most maxCalls at the same time, and
// waits for all.
func forEachIndex(n int, work func(int)) {
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
