package balancer

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/balsamlink/balsamlink/internal/kernel"
	"github.com/balsamlink/balsamlink/internal/ledger"
	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/node"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/settings"
	"github.com/balsamlink/balsamlink/internal/shardowner"
)

// shardOwnerModule owns shards of the allowance ledger, which package ledger
// describes: for the customers of a shard, the owner decides how much of their
// allowances each agent may use.
type shardOwnerModule struct {
	kernel.NopModule
	control *node.Control
	owner   *shardowner.Owner
	started bool
}

func newShardOwnerModule(settings settings.Balancer, control *node.Control, store platform.Store, log *logrus.Entry) *shardOwnerModule {
	m := &shardOwnerModule{control: control}
	m.owner = shardowner.New(shardowner.Config{
		Store:      store,
		RPC:        control.Server,
		Allowances: m.allowances,
		Balancers:  control,
		Agents:     m.agents,
		Node:       settings.Node.Name,
		Control:    settings.Node.Control,
		Log:        log,
	})
	return m
}

// allowances returns the customers' allowances in force, or nil before they are
// known.
func (m *shardOwnerModule) allowances() ledger.Allowances {
	if !m.control.Documents.CustomersKnown() {
		return nil
	}
	return m.control.Documents.Snapshot()
}

// agents returns the number of active agents of a service.
func (m *shardOwnerModule) agents(service model.Service) int {
	count := 0
	for _, record := range m.control.Cluster.View().Records {
		if record.Role == model.RoleAgent && record.Service == service && record.State == membership.StateActive {
			count++
		}
	}
	return count
}

// Start implements kernel.Module.
func (m *shardOwnerModule) Start(ctx context.Context) error {
	m.owner.Start(context.WithoutCancel(ctx))
	m.started = true
	return nil
}

// Drain implements kernel.Module. It hands the shards over to other balancers.
func (m *shardOwnerModule) Drain(ctx context.Context) error {
	m.started = false
	return Error.Wrap(m.owner.Stop(ctx))
}

// Stop implements kernel.Module. Without a preceding Drain it stops the owner
// without waiting for the hand-over.
func (m *shardOwnerModule) Stop() error {
	if !m.started {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.owner.Stop(ctx)
	return nil
}
