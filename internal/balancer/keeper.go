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

// keeperModule keeps shards of the ledger of allowances.
type keeperModule struct {
	kernel.NopModule
	control *node.Control
	keeper  *shardowner.Owner
	started bool
}

func newKeeperModule(settings settings.Balancer, control *node.Control, store platform.Store, log *logrus.Entry) *keeperModule {
	m := &keeperModule{control: control}
	m.keeper = shardowner.New(shardowner.Config{
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

// allowances returns the plans in force, nil before they are known.
func (m *keeperModule) allowances() ledger.Allowances {
	if !m.control.Documents.Known() {
		return nil
	}
	return m.control.Documents.Snapshot()
}

// agents counts the agents of a service.
func (m *keeperModule) agents(service model.Service) int {
	count := 0
	for _, record := range m.control.Cluster.View().Records {
		if record.Role == model.RoleAgent && record.Service == service && record.State == membership.StateActive {
			count++
		}
	}
	return count
}

// Start implements kernel.Module.
func (m *keeperModule) Start(ctx context.Context) error {
	m.keeper.Start(context.WithoutCancel(ctx))
	m.started = true
	return nil
}

// Drain implements kernel.Module: it hands the shards over.
func (m *keeperModule) Drain(ctx context.Context) error {
	m.started = false
	return Error.Wrap(m.keeper.Stop(ctx))
}

// Stop implements kernel.Module.
func (m *keeperModule) Stop() error {
	if !m.started {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.keeper.Stop(ctx)
	return nil
}
