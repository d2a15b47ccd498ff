package plan

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// shownHashSize is the number of hex digits by which a credential is named.
const shownHashSize = 12

const (
	fieldOut         = "out_of_service"
	credentialPrefix = "credential "
)

// Difference is one thing that differs between two versions of a document.
type Difference struct {
	// Subject is a customer, plan, zone or target, as in "customer paarl-print".
	Subject string `json:"subject"`
	// Field is the part of the subject that differs.
	Field string `json:"field"`
	// Before and After are the values; an empty one is absent.
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns the difference in the operators' terms.
func (d Difference) String() string {
	switch {
	case d.Field == fieldOut && d.Before == "":
		return d.Subject + ": taken out of service"
	case d.Field == fieldOut:
		return d.Subject + ": returned to service"
	case strings.HasPrefix(d.Field, credentialPrefix):
		return d.Subject + ": " + d.Field[:len(credentialPrefix)+shownHashSize] + " " + d.verb()
	case d.Before == "":
		return fmt.Sprintf("%s: %s: added %s", d.Subject, d.Field, d.After)
	case d.After == "":
		return fmt.Sprintf("%s: %s: removed %s", d.Subject, d.Field, d.Before)
	default:
		return fmt.Sprintf("%s: %s: %s -> %s", d.Subject, d.Field, d.Before, d.After)
	}
}

func (d Difference) verb() string {
	if d.Before == "" {
		return "added"
	}
	return "removed"
}

// Diff returns what differs between two contents of one kind, in order. It
// returns nothing exactly when they are equal. Both must pass their checks.
func Diff(before, after Content) []Difference {
	old, recent := flatten(before), flatten(after)
	var found []Difference
	for key, value := range old {
		if recent[key] != value {
			found = append(found, Difference{Subject: key.subject, Field: key.field, Before: value, After: recent[key]})
		}
	}
	for key, value := range recent {
		if _, known := old[key]; !known {
			found = append(found, Difference{Subject: key.subject, Field: key.field, After: value})
		}
	}
	slices.SortFunc(found, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Field, b.Field))
	})
	return found
}

// Describe returns the differences as lines.
func Describe(differences []Difference) []string {
	lines := make([]string, len(differences))
	for i, difference := range differences {
		lines[i] = difference.String()
	}
	return lines
}

// Shorten returns at most limit lines, the last of which tells how many are left
// out.
func Shorten(lines []string, limit int) []string {
	if len(lines) <= limit {
		return lines
	}
	kept := limit - 1
	short := append([]string{}, lines[:kept]...)
	return append(short, fmt.Sprintf("and %d more", len(lines)-kept))
}

// fieldKey names one field of a document. Names may hold any printable
// character, so the parts are kept apart.
type fieldKey struct {
	subject string
	field   string
}

type fields map[fieldKey]string

func flatten(content Content) fields {
	flat := fields{}
	switch content := content.(type) {
	case Customers:
		flat.addCustomers(content)
	case Plans:
		flat.addPlans(content)
	case OutOfService:
		flat.addOut(content)
	}
	return flat
}

func (f fields) addCustomers(customers Customers) {
	for _, customer := range customers.Customers {
		subject := "customer " + string(customer.Name)
		f[fieldKey{subject, "plan"}] = string(customer.Plan)
		for _, hash := range customer.CredentialSHA256 {
			f[fieldKey{subject, credentialPrefix + strings.ToLower(hash)}] = "held"
		}
	}
}

func (f fields) addPlans(plans Plans) {
	if plans.Currency != "" {
		f[fieldKey{"list of plans", "currency"}] = plans.Currency
	}
	for _, plan := range plans.Plans {
		subject := "plan " + string(plan.Name)
		f[fieldKey{subject, "monthly_fee"}] = plan.MonthlyFee.String()
		for _, allowance := range plan.Allowances {
			f.addAllowance(subject, allowance)
		}
	}
}

func (f fields) addAllowance(subject string, allowance Allowance) {
	service := string(allowance.Service)
	rate := strconv.FormatFloat(allowance.RequestsPerSecond+0, 'g', -1, 64)
	f[fieldKey{subject, service + " requests_per_second"}] = rate
	f[fieldKey{subject, service + " burst"}] = strconv.FormatUint(uint64(allowance.Burst), 10)
	f[fieldKey{subject, service + " in_flight"}] = strconv.FormatUint(uint64(allowance.InFlight), 10)
	f[fieldKey{subject, service + " units_per_month"}] = strconv.FormatUint(allowance.UnitsPerMonth, 10)
	f[fieldKey{subject, service + " unit_price"}] = allowance.UnitPrice.String()
}

func (f fields) addOut(out OutOfService) {
	for _, zone := range out.Zones {
		f[fieldKey{"zone " + string(zone), fieldOut}] = "out"
	}
	for _, target := range out.Targets {
		f[fieldKey{"target " + string(target), fieldOut}] = "out"
	}
}
