package experiment

import (
	"context"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/standin/deployment"
)

// setZone takes an availability zone out of service or returns it to service, by
// the same writes as balsamctl.
func setZone(ctx context.Context, layout deployment.Layout, zone model.Zone, outOfService bool) error {
	operator, err := layout.Operator()
	if err != nil {
		return Error.Wrap(err)
	}
	defer operator.Close()
	return Error.Wrap(operator.SetZone(ctx, zone, outOfService))
}
