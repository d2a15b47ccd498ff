package experiment

import (
	"context"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
)

// setZonesOut brings a new revision of what is out of service to the balancers.
func setZonesOut(ctx context.Context, layout deployment.Layout, revision model.Revision, zones []model.Zone) error {
	out := plan.Out{Zones: zones, Targets: []model.NodeID{}}
	return Error.Wrap(layout.Offer(ctx, []plan.Content{out}, revision))
}
