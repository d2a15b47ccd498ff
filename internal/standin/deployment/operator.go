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

// Operator changes the documents of a deployment in the way of balsamctl.
type Operator struct {
	Store platform.Store

	editor *operator.Editor
	client *rpc.Client
	read   settings.Operator
}

// Operator reads the operator's settings of a deployment.
func (l Layout) Operator() (*Operator, error) {
	read, err := settings.Load[settings.Operator](filepath.Join(l.Folder, FileOperator))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ring, err := keys.Load(read.Keys)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	kv, err := strictjson.Decode[httpkv.Settings](read.Platform.Settings)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	store := httpkv.New(kv)
	return &Operator{
		Store:  store,
		editor: operator.NewEditor(store, read.Author),
		client: rpc.NewClient(ring.ClientTLS()),
		read:   read,
	}, nil
}

// Close ends the operator's calls.
func (o *Operator) Close() { o.client.Close() }

// Apply makes contents the current ones and offers them to the seeds.
func (o *Operator) Apply(ctx context.Context, contents []plan.Content) error {
	results, err := o.editor.Apply(ctx, contents, operator.Conditions{})
	if err != nil {
		return Error.Wrap(err)
	}
	o.offer(ctx, results...)
	return nil
}

// SetZone takes a zone out of service or returns it.
func (o *Operator) SetZone(ctx context.Context, zone model.Zone, out bool) error {
	result, err := o.editor.SetZone(ctx, zone, out)
	if err != nil {
		return Error.Wrap(err)
	}
	o.offer(ctx, result)
	return nil
}

// offer brings documents to the seeds. The platform holds them already, so a
// seed that cannot be reached learns them later.
func (o *Operator) offer(ctx context.Context, results ...operator.Result) {
	fleet := operator.NewFleet(ctx, o.Store, o.client, o.read.Seeds)
	for _, result := range results {
		fleet.Offer(ctx, result)
	}
}

// revisions asks all nodes for their revisions of what is out of service. Nodes
// that do not answer are left out.
func (o *Operator) revisions(ctx context.Context) ([]model.Revision, error) {
	fleet := operator.NewFleet(ctx, o.Store, o.client, o.read.Seeds)
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

// NodesBehind returns the number of nodes that hold an older revision of what is
// out of service than the newest that any node holds.
func (o *Operator) NodesBehind(ctx context.Context) (int, error) {
	revisions, err := o.revisions(ctx)
	if err != nil {
		return 0, err
	}
	if len(revisions) == 0 {
		return 0, Error.New("no node answers")
	}
	newest, behind := slices.Max(revisions), 0
	for _, revision := range revisions {
		if revision < newest {
			behind++
		}
	}
	return behind, nil
}

// AwaitRevision waits until a number of nodes hold a revision of what is out of
// service.
func (o *Operator) AwaitRevision(ctx context.Context, wanted model.Revision, nodes int, poll time.Duration) error {
	ticker := time.NewTicker(poll)
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
