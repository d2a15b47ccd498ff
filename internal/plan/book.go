package plan

import (
	"maps"
	"slices"
	"strings"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Snapshot is an immutable lookup over the operators' documents at given
// revisions. It is safe for concurrent use.
//
// The documents are written and spread one by one, so a customer may name a
// plan that this Snapshot does not know. Such a customer has no allowance.
type Snapshot struct {
	revisions   model.Revisions
	credentials map[string]model.Customer
	plans       map[model.Customer]Name
	allowances  map[allowanceKey]Allowance
	zones       map[model.Zone]struct{}
	targets     map[model.NodeID]struct{}
}

type allowanceKey struct {
	plan    Name
	service model.Service
}

// NewSnapshot checks the three contents and makes a Book of them.
func NewSnapshot(customers Customers, plans Plans, out OutOfService, revisions model.Revisions) (*Snapshot, error) {
	for _, content := range []Content{customers, plans, out} {
		if err := content.Check(); err != nil {
			return nil, err
		}
	}
	book := &Snapshot{revisions: revisions}
	book.addCustomers(customers)
	book.addPlans(plans)
	book.addOut(out)
	return book, nil
}

// Revisions returns the revisions of the documents that the Book was made of.
func (b *Snapshot) Revisions() model.Revisions { return b.revisions }

// CustomerByCredential returns the customer whose token has this hex SHA-256
// hash.
func (b *Snapshot) CustomerByCredential(sha256hex string) (model.Customer, bool) {
	customer, known := b.credentials[strings.ToLower(sha256hex)]
	return customer, known
}

// PlanOf returns the plan that a customer is on.
func (b *Snapshot) PlanOf(customer model.Customer) (Name, bool) {
	name, known := b.plans[customer]
	return name, known
}

// Allowance returns what the customer's plan allows of a service. Without an
// allowance the customer may not use the service.
func (b *Snapshot) Allowance(customer model.Customer, service model.Service) (Allowance, bool) {
	name, known := b.plans[customer]
	if !known {
		return Allowance{}, false
	}
	allowance, allowed := b.allowances[allowanceKey{plan: name, service: service}]
	return allowance, allowed
}

// ZoneOut reports whether operators have taken the zone out of service.
func (b *Snapshot) ZoneOut(zone model.Zone) bool {
	_, out := b.zones[zone]
	return out
}

// TargetOut reports whether operators have taken the target out of service.
// Targets go by the name of the agent beside them.
func (b *Snapshot) TargetOut(node model.NodeID) bool {
	_, out := b.targets[node]
	return out
}

func (b *Snapshot) addCustomers(customers Customers) {
	b.credentials = map[string]model.Customer{}
	b.plans = make(map[model.Customer]Name, len(customers.Customers))
	for _, customer := range customers.Customers {
		b.plans[customer.Name] = customer.Plan
		for _, hash := range customer.CredentialSHA256 {
			b.credentials[strings.ToLower(hash)] = customer.Name
		}
	}
}

func (b *Snapshot) addPlans(plans Plans) {
	b.allowances = map[allowanceKey]Allowance{}
	for _, p := range plans.Plans {
		for _, allowance := range p.Allowances {
			b.allowances[allowanceKey{plan: p.Name, service: allowance.Service}] = allowance
		}
	}
}

func (b *Snapshot) addOut(out OutOfService) {
	b.zones = make(map[model.Zone]struct{}, len(out.Zones))
	for _, zone := range out.Zones {
		b.zones[zone] = struct{}{}
	}
	b.targets = make(map[model.NodeID]struct{}, len(out.Targets))
	for _, target := range out.Targets {
		b.targets[target] = struct{}{}
	}
}

// ZonesOut returns the zones that operators have taken out of service, in order.
func (b *Snapshot) ZonesOut() []model.Zone {
	return slices.Sorted(maps.Keys(b.zones))
}
