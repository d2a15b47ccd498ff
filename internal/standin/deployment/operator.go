package deployment

import (
	"context"
	"path/filepath"
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/operator"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/platform"
	"github.com/balsamlink/balsamlink/internal/platform/httpkv"
	"github.com/balsamlink/balsamlink/internal/rpc"
	"github.com/balsamlink/balsamlink/internal/settings"
	"github.com/balsamlink/balsamlink/internal/strictjson"
)

// Operator changes the documents of a deployment as balsamctl does.
type Operator struct {
	// Store is the client of the stand-in platform.
	Store platform.Store

	editor   *operator.Editor
	client   *rpc.Client
	settings settings.Operator
}

// Operator returns an operator with the settings of balsamctl in the deployment.
// The caller closes it.
func (l Layout) Operator() (*Operator, error) {
	config, err := settings.Load[settings.Operator](filepath.Join(l.Folder, FileOperator))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	keyring, err := keys.Load(config.Keys)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	kvSettings, err := strictjson.Decode[httpkv.Settings](config.Platform.Settings)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	store := httpkv.New(kvSettings)
	return &Operator{
		Store:    store,
		editor:   operator.NewEditor(store, config.Author),
		client:   rpc.NewClient(keyring.ClientTLS()),
		settings: config,
	}, nil
}

// Close closes the connections to the nodes.
func (o *Operator) Close() { o.client.Close() }

// Apply publishes documents: it writes them to the platform and pushes them to the
// seed nodes.
func (o *Operator) Apply(ctx context.Context, contents []plan.Content) error {
	results, err := o.editor.Apply(ctx, contents, operator.Conditions{})
	if err != nil {
		return Error.Wrap(err)
	}
	o.push(ctx, results...)
	return nil
}

// SetZone takes an availability zone out of service or returns it to service.
func (o *Operator) SetZone(ctx context.Context, zone model.Zone, out bool) error {
	result, err := o.editor.SetZone(ctx, zone, out)
	if err != nil {
		return Error.Wrap(err)
	}
	o.push(ctx, result)
	return nil
}

// push sends documents to the seed nodes. It ignores failures: the platform has the
// documents already, and nodes that were not reached fetch them later.
func (o *Operator) push(ctx context.Context, results ...operator.Result) {
	fleet := operator.NewFleet(ctx, o.Store, o.client, o.settings.Seeds)
	for _, result := range results {
		fleet.PushDocument(ctx, result)
	}
}

// revisions returns the revision of the out-of-service document at each node that
// responds.
func (o *Operator) revisions(ctx context.Context) ([]model.Revision, error) {
	fleet := operator.NewFleet(ctx, o.Store, o.client, o.settings.Seeds)
	nodes, err := fleet.Status(ctx)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var revisions []model.Revision
	for _, node := range nodes {
		if node.Report != nil {
			revisions = append(revisions, node.Report.Revisions[model.DocumentOutOfService])
		}
	}
	return revisions, nil
}

// NodesBehind returns the number of nodes whose out-of-service document is older
// than the newest at any node. Nodes that do not respond are not counted; it is an
// error when none responds.
func (o *Operator) NodesBehind(ctx context.Context) (int, error) {
	revisions, err := o.revisions(ctx)
	if err != nil {
		return 0, err
	}
	if len(revisions) == 0 {
		return 0, Error.New("no node responded")
	}
	newest, behind := slices.Max(revisions), 0
	for _, revision := range revisions {
		if revision < newest {
			behind++
		}
	}
	return behind, nil
}

// AwaitRevision waits until at least the given number of nodes hold a revision of
// the out-of-service document or a newer one. It asks them once per interval.
func (o *Operator) AwaitRevision(ctx context.Context, wanted model.Revision, nodes int, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		revisions, err := o.revisions(ctx)
		if err != nil {
			return err
		}
		reached := 0
		for _, revision := range revisions {
			if revision >= wanted {
				reached++
			}
		}
		if reached >= nodes {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("revision %d is in force at %d of %d nodes: %v", wanted, reached, nodes, ctx.Err())
		case <-ticker.C:
		}
	}
}
