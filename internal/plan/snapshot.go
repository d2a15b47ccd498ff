package plan

import (
	"maps"
	"slices"
	"strings"

	"github.com/balsamlink/balsamlink/internal/model"
)

// Snapshot indexes the operators' documents at given revisions for look-ups. It is
// immutable and safe for concurrent use.
//
// The documents are written and distributed one by one, so a customer may refer
// to a plan that this Snapshot does not contain. Such a customer has no
// allowance.
type Snapshot struct {
	revisions model.Revisions
	// customerByHash maps the lower-case hex SHA-256 hash of each token to the
	// customer that has it.
	customerByHash map[string]model.Customer
	planOf         map[model.Customer]Name
	allowances     map[allowanceKey]Allowance
	zonesOut       map[model.Zone]struct{}
	targetsOut     map[model.NodeID]struct{}
}

type allowanceKey struct {
	plan    Name
	service model.Service
}

// NewSnapshot checks the three contents and builds a Snapshot of them. It
// returns the error of the first content that fails its check.
func NewSnapshot(customers Customers, plans Plans, out OutOfService, revisions model.Revisions) (*Snapshot, error) {
	for _, content := range []Content{customers, plans, out} {
		if err := content.Check(); err != nil {
			return nil, err
		}
	}
	snapshot := &Snapshot{revisions: revisions}
	snapshot.addCustomers(customers)
	snapshot.addPlans(plans)
	snapshot.addOutOfService(out)
	return snapshot, nil
}

// Revisions returns the revisions of the documents from which the Snapshot was
// built.
func (s *Snapshot) Revisions() model.Revisions { return s.revisions }

// CustomerByCredential returns the customer that has a token with this hex
// SHA-256 hash.
func (s *Snapshot) CustomerByCredential(sha256hex string) (model.Customer, bool) {
	customer, known := s.customerByHash[strings.ToLower(sha256hex)]
	return customer, known
}

// PlanOf returns the name of a customer's plan.
func (s *Snapshot) PlanOf(customer model.Customer) (Name, bool) {
	name, known := s.planOf[customer]
	return name, known
}

// Allowance returns what the customer's plan allows for a service. The second
// result is false if the customer may not use the service.
func (s *Snapshot) Allowance(customer model.Customer, service model.Service) (Allowance, bool) {
	name, known := s.planOf[customer]
	if !known {
		return Allowance{}, false
	}
	allowance, allowed := s.allowances[allowanceKey{plan: name, service: service}]
	return allowance, allowed
}

// ZoneOut reports whether operators have taken the availability zone out of
// service.
func (s *Snapshot) ZoneOut(zone model.Zone) bool {
	_, out := s.zonesOut[zone]
	return out
}

// TargetOut reports whether operators have taken the target out of service. A
// target is identified by the node name of the agent next to it.
func (s *Snapshot) TargetOut(node model.NodeID) bool {
	_, out := s.targetsOut[node]
	return out
}

func (s *Snapshot) addCustomers(customers Customers) {
	s.customerByHash = map[string]model.Customer{}
	s.planOf = make(map[model.Customer]Name, len(customers.Customers))
	for _, customer := range customers.Customers {
		s.planOf[customer.Name] = customer.Plan
		for _, hash := range customer.CredentialSHA256 {
			s.customerByHash[strings.ToLower(hash)] = customer.Name
		}
	}
}

func (s *Snapshot) addPlans(plans Plans) {
	s.allowances = map[allowanceKey]Allowance{}
	for _, p := range plans.Plans {
		for _, allowance := range p.Allowances {
			s.allowances[allowanceKey{plan: p.Name, service: allowance.Service}] = allowance
		}
	}
}

func (s *Snapshot) addOutOfService(out OutOfService) {
	s.zonesOut = make(map[model.Zone]struct{}, len(out.Zones))
	for _, zone := range out.Zones {
		s.zonesOut[zone] = struct{}{}
	}
	s.targetsOut = make(map[model.NodeID]struct{}, len(out.Targets))
	for _, target := range out.Targets {
		s.targetsOut[target] = struct{}{}
	}
}

// ZonesOut returns the availability zones that operators have taken out of
// service, sorted by name.
func (s *Snapshot) ZonesOut() []model.Zone {
	return slices.Sorted(maps.Keys(s.zonesOut))
}
