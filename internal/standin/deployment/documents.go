package deployment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"github.com/shopspring/decimal"
	"github.com/zeebo/errs"

	"github.com/balsamlink/balsamlink/internal/cluster"
	"github.com/balsamlink/balsamlink/internal/devcerts"
	"github.com/balsamlink/balsamlink/internal/keys"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/rpc"
)

// customerCount is the number of customers of each deployment.
const customerCount = 5

// What each customer may use of each service.
const (
	requestsPerSecond = 2000
	burst             = 2000
	inFlight          = 1000
	unitsPerMonth     = 10_000_000
)

func customerName(number int) model.Customer {
	return model.Customer(fmt.Sprintf("customer-%d", number+1))
}

// Tokens returns the bearer tokens of a deployment's customers.
func Tokens() []string {
	var tokens []string
	for number := range customerCount {
		tokens = append(tokens, "token-of-"+string(customerName(number)))
	}
	return tokens
}

// Contents returns the operators' first lists: all customers on one plan, and
// nothing out of service.
func Contents(services []model.Service) []plan.Content {
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
		plan.Out{Zones: []model.Zone{}, Targets: []model.NodeID{}},
	}
}

// Offer brings documents to the balancers of a deployment as an operator.
func (l Layout) Offer(ctx context.Context, contents []plan.Content, revision model.Revision) error {
	ring, err := keys.Load(devcerts.NodeFiles(l.Folder, OperatorName))
	if err != nil {
		return Error.Wrap(err)
	}
	client := rpc.NewClient(ring.ClientTLS())
	defer client.Close()
	for _, content := range contents {
		document, err := documentOf(content, revision)
		if err != nil {
			return err
		}
		if err := l.offerOne(ctx, client, document); err != nil {
			return err
		}
	}
	return nil
}

// offerTimeout bounds the offer to one balancer, which may be paused.
const offerTimeout = time.Second

// offerOne brings a document to all balancers and succeeds when one took it;
// the others learn it from there.
func (l Layout) offerOne(ctx context.Context, client *rpc.Client, document cluster.Document) error {
	results := make(chan error, len(l.Seeds))
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	for _, seed := range l.Seeds {
		go func() {
			_, err := rpc.Call[cluster.Document, cluster.OfferReply](ctx, client, seed, rpc.MethodOffer, document)
			results <- err
		}()
	}
	var failed errs.Group
	for range l.Seeds {
		err := <-results
		if err == nil {
			return nil
		}
		failed.Add(err)
	}
	return Error.Wrap(failed.Err())
}

func documentOf(content plan.Content, revision model.Revision) (cluster.Document, error) {
	document := plan.Document{
		Header: plan.Header{
			Revision: revision, Author: OperatorName, Time: time.Now().UTC(),
			ChangeID: fmt.Sprintf("%s-%d", content.Kind(), revision), Changes: []string{"as laid out"},
		},
		Content: content,
	}
	body, err := document.Encode()
	if err != nil {
		return cluster.Document{}, Error.Wrap(err)
	}
	return cluster.Document{Kind: content.Kind(), Revision: revision, Body: body}, nil
}

// Prepare brings the operators' first lists to the balancers. It tries again
// while they are starting.
func (l Layout) Prepare(ctx context.Context) error {
	var services []model.Service
	for _, service := range l.Services {
		services = append(services, service.Name)
	}
	contents := Contents(services)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := l.Offer(ctx, contents, 1)
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

// TargetAddresses returns the addresses of all targets.
func (l Layout) TargetAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, service := range l.Services {
		addresses = append(addresses, service.Targets...)
	}
	return addresses
}
