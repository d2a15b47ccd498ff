package deployment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"github.com/shopspring/decimal"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// customerCount is the number of customers of each deployment.
const customerCount = 5

// The allowance of each customer for each service: the rate and the burst of its
// requests, its concurrent requests, and the units (served requests) that it may use in
// a month.
const (
	requestsPerSecond = 2000
	burst             = 2000
	inFlight          = 1000
	unitsPerMonth     = 10_000_000
)

func customerName(number int) model.Customer {
	return model.Customer(fmt.Sprintf("customer-%d", number+1))
}

// Tokens returns the bearer tokens of all customers.
func Tokens() []string {
	var tokens []string
	for number := range customerCount {
		tokens = append(tokens, TokenOf(customerName(number)))
	}
	return tokens
}

// TokenOf returns the bearer token of a customer.
func TokenOf(customer model.Customer) string { return "token-of-" + string(customer) }

// InitialDocuments returns the initial documents of a deployment: all customers on
// one plan, and nothing out of service.
func InitialDocuments(services []model.Service) []plan.Content {
	standard := plan.Plan{Name: "standard", MonthlyFee: decimal.New(100, 0), Allowances: []plan.Allowance{}}
	for _, service := range services {
		standard.Allowances = append(standard.Allowances, plan.Allowance{
			Service: service, RequestsPerSecond: requestsPerSecond, Burst: burst,
			InFlight: inFlight, UnitsPerMonth: unitsPerMonth, UnitPrice: decimal.New(1, -3),
		})
	}
	customers := plan.Customers{Customers: []plan.Customer{}}
	for number, token := range Tokens() {
		hash := sha256.Sum256([]byte(token))
		customers.Customers = append(customers.Customers, plan.Customer{
			Name: customerName(number), Plan: standard.Name,
			CredentialSHA256: []string{hex.EncodeToString(hash[:])},
		})
	}
	return []plan.Content{
		customers,
		plan.Plans{Currency: "ZAR", Plans: []plan.Plan{standard}},
		plan.OutOfService{Zones: []model.Zone{}, Targets: []model.NodeID{}},
	}
}

// PublishInitialDocuments publishes the initial documents as balsamctl does. While
// that fails, because the platform has not started yet, it retries until the
// context ends. It then returns the newest error.
func (l Layout) PublishInitialDocuments(ctx context.Context) error {
	operator, err := l.Operator()
	if err != nil {
		return err
	}
	defer operator.Close()
	var services []model.Service
	for _, service := range l.Services {
		services = append(services, service.Name)
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := operator.Apply(ctx, InitialDocuments(services))
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-ticker.C:
		}
	}
}

// TargetAddresses returns the addresses of all targets, service by service.
func (l Layout) TargetAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, service := range l.Services {
		addresses = append(addresses, service.Targets...)
	}
	return addresses
}
