package deployment

import (
	"context"
	"path/filepath"

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
