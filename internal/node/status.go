package node

import (
	"context"
	"maps"
	"slices"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/rpc"
	"github.com/balsamlink/balsamlink/internal/status"
)

// serveStatus handles rpc.MethodStatus, which balsamctl status calls.
func (c *Control) serveStatus(_ context.Context, _ rpc.Peer, request status.Request) (status.Report, error) {
	view := c.Cluster.View()
	self, _ := view.Find(c.settings.Name)
	report := status.Report{
		Node:      c.settings.Name,
		Role:      self.Role,
		Zone:      c.settings.Zone,
		Service:   self.Service,
		State:     self.State,
		Revisions: c.Documents.Snapshot().Revisions(),
		ViewSize:  uint32(len(view.Records)),
	}
	values := c.metrics.Values()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		report.Metrics = append(report.Metrics, status.Metric{Name: name, Value: values[name]})
	}
	if request.Members {
		report.Members = status.MembersOf(*view)
	}
	return report, nil
}

// Balancers returns the balancers in this node's membership view.
func (c *Control) Balancers() []membership.Record { return c.Cluster.View().Balancers() }
