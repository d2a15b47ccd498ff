package plan

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// shortHashSize is the number of hex digits shown for a credential hash.
const shortHashSize = 12

const (
	fieldOutOfService = "out_of_service"
	credentialPrefix  = "credential "
)

// Difference is one field that differs between two versions of a document.
type Difference struct {
	// Subject is a customer, plan, zone or target, as in "customer paarl-print", or
	// "list of plans" for what applies to all plans.
	Subject string `json:"subject"`
	// Field is the field of the subject that differs, as in "plan" or
	// "memberdesk burst".
	Field string `json:"field"`
	// Before and After are the two values; an empty string means that the field
	// is absent.
	Before string `json:"before"`
	After  string `json:"after"`
}

// String describes the difference in a line for operators.
func (d Difference) String() string {
	switch {
	case d.Field == fieldOutOfService && d.Before == "":
		return d.Subject + ": taken out of service"
	case d.Field == fieldOutOfService:
		return d.Subject + ": returned to service"
	case strings.HasPrefix(d.Field, credentialPrefix):
		return d.Subject + ": " + d.Field[:len(credentialPrefix)+shortHashSize] + " " + d.verb()
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

// Diff returns the differences between two contents of the same kind, sorted by
// subject and field. It returns none exactly when the contents are equal. Both
// must pass their checks; a nil Content counts as an empty one.
func Diff(before, after Content) []Difference {
	oldFields, newFields := flatten(before), flatten(after)
	var found []Difference
	for key, value := range oldFields {
		if newFields[key] != value {
			found = append(found, Difference{Subject: key.subject, Field: key.field, Before: value, After: newFields[key]})
		}
	}
	for key, value := range newFields {
		if _, known := oldFields[key]; !known {
			found = append(found, Difference{Subject: key.subject, Field: key.field, After: value})
		}
	}
	slices.SortFunc(found, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Field, b.Field))
	})
	return found
}

// Describe returns one line for each difference.
func Describe(differences []Difference) []string {
	lines := make([]string, len(differences))
	for i, difference := range differences {
		lines[i] = difference.String()
	}
	return lines
}

// Shorten returns at most limit lines; limit must be at least 1 unless lines is
// empty. If some lines are left out, the last returned line gives their number.
func Shorten(lines []string, limit int) []string {
	if len(lines) <= limit {
		return lines
	}
	kept := limit - 1
	short := append([]string{}, lines[:kept]...)
	return append(short, fmt.Sprintf("and %d more", len(lines)-kept))
}

// fieldKey identifies one field of a document. It keeps the parts separate
// because names may contain any printable character, so that joined parts could
// be ambiguous.
type fieldKey struct {
	subject string
	field   string
}

type fields map[fieldKey]string

// flatten returns the values of all fields of a content.
func flatten(content Content) fields {
	flat := fields{}
	switch content := content.(type) {
	case Customers:
		flat.addCustomers(content)
	case Plans:
		flat.addPlans(content)
	case OutOfService:
		flat.addOutOfService(content)
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
	rate := strconv.FormatFloat(allowance.RequestsPerSecond+0, 'g', -1, 64) // +0 turns -0 into 0
	f[fieldKey{subject, service + " requests_per_second"}] = rate
	f[fieldKey{subject, service + " burst"}] = strconv.FormatUint(uint64(allowance.Burst), 10)
	f[fieldKey{subject, service + " in_flight"}] = strconv.FormatUint(uint64(allowance.InFlight), 10)
	f[fieldKey{subject, service + " units_per_month"}] = strconv.FormatUint(allowance.UnitsPerMonth, 10)
	f[fieldKey{subject, service + " unit_price"}] = allowance.UnitPrice.String()
}

func (f fields) addOutOfService(out OutOfService) {
	for _, zone := range out.Zones {
		f[fieldKey{"zone " + string(zone), fieldOutOfService}] = "out"
	}
	for _, target := range out.Targets {
		f[fieldKey{"target " + string(target), fieldOutOfService}] = "out"
	}
}
