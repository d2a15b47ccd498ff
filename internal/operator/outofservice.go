package operator

import (
	"context"
	"slices"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// SetZone takes an availability zone out of service, or returns it to service.
func (e *Editor) SetZone(ctx context.Context, zone model.Zone, out bool) (Result, error) {
	return e.Merge(ctx, model.DocumentOutOfService, func(current plan.Content) (plan.Content, error) {
		list, _ := current.(plan.OutOfService)
		return checked(withZone(list, zone, out))
	})
}

// SetTarget takes a target out of service, or returns it to service. A target is
// identified by the node name of the agent next to it.
func (e *Editor) SetTarget(ctx context.Context, target model.NodeID, out bool) (Result, error) {
	return e.Merge(ctx, model.DocumentOutOfService, func(current plan.Content) (plan.Content, error) {
		list, _ := current.(plan.OutOfService)
		return checked(plan.OutOfService{Zones: list.Zones, Targets: withItem(list.Targets, target, out)})
	})
}

func checked(list plan.OutOfService) (plan.Content, error) { return list, list.Check() }

func withZone(list plan.OutOfService, zone model.Zone, out bool) plan.OutOfService {
	return plan.OutOfService{Zones: withItem(list.Zones, zone, out), Targets: list.Targets}
}

// withItem returns a copy of a list with the item if present is true, and without
// it otherwise.
func withItem[T comparable](list []T, item T, present bool) []T {
	copied := slices.DeleteFunc(slices.Clone(list), func(other T) bool { return other == item })
	if present {
		copied = append(copied, item)
	}
	return copied
}
