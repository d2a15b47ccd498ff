package billing

import (
	"math/big"
	"time"

	"github.com/shopspring/decimal"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

// Forecast estimates what the customers will be billed for one month.
type Forecast struct {
	// Month is the month after that of the metering totals.
	Month    Month  `json:"month"`
	Currency string `json:"currency"`
	// MeteredMonth and MeteredUntil identify the usage on which the run rate is
	// based: that of MeteredMonth up to the time MeteredUntil.
	MeteredMonth Month     `json:"metered_month"`
	MeteredUntil time.Time `json:"metered_until"`
	Bills        []Bill    `json:"bills"`
	// Maximum and RunRate are the sums over all bills.
	Maximum decimal.Decimal `json:"most_possible"`
	RunRate decimal.Decimal `json:"run_rate"`
}

// Bill is the forecast for one customer.
type Bill struct {
	Customer   model.Customer  `json:"customer"`
	Plan       plan.Name       `json:"plan"`
	MonthlyFee decimal.Decimal `json:"monthly_fee"`
	Lines      []Line          `json:"lines"`
	// Maximum is the largest bill that the customer's plan permits.
	Maximum decimal.Decimal `json:"most_possible"`
	// RunRate is the bill if the customer's usage continues as in the metered
	// month.
	RunRate decimal.Decimal `json:"run_rate"`
}

// Line is the part of a bill for one service.
type Line struct {
	Service       model.Service   `json:"service"`
	UnitPrice     decimal.Decimal `json:"unit_price"`
	UnitsPerMonth uint64          `json:"units_per_month"`
	// Maximum is the price of UnitsPerMonth units.
	Maximum decimal.Decimal `json:"most_possible"`
	// UsedUnits is the number of units used in the metered month so far.
	UsedUnits uint64 `json:"used_units"`
	// RunRateUnits is UsedUnits extrapolated to the whole forecast month, rounded
	// up to whole units and limited to UnitsPerMonth.
	RunRateUnits uint64          `json:"run_rate_units"`
	RunRate      decimal.Decimal `json:"run_rate"`
}

// NewForecast computes the bills of the month after the current one. The usage
// must be that of the month of now, otherwise an error is returned. The lists
// must pass their checks; a customer with a missing plan is an error.
func NewForecast(lists plan.Lists, usage Usage, now time.Time) (Forecast, error) {
	if usage.Month != MonthOf(now) {
		return Forecast{}, Error.New("usage is of month %s while it is %s", usage.Month, MonthOf(now))
	}
	if err := plan.CheckReferences(lists.Customers, lists.Plans); err != nil {
		return Forecast{}, Error.Wrap(err)
	}
	projection, err := newUsageProjection(usage.Month, now)
	if err != nil {
		return Forecast{}, err
	}
	forecast := Forecast{
		Month: MonthOf(projection.nextMonthStart), Currency: lists.Plans.Currency,
		MeteredMonth: usage.Month, MeteredUntil: now.UTC(), Bills: []Bill{},
	}
	plans := plansByName(lists.Plans)
	for _, customer := range lists.Customers.Normalized().(plan.Customers).Customers {
		bill := newBill(customer.Name, plans[customer.Plan], usage, projection)
		forecast.Bills = append(forecast.Bills, bill)
		forecast.Maximum = forecast.Maximum.Add(bill.Maximum)
		forecast.RunRate = forecast.RunRate.Add(bill.RunRate)
	}
	return forecast, nil
}

func newBill(customer model.Customer, p plan.Plan, usage Usage, projection usageProjection) Bill {
	bill := Bill{
		Customer: customer, Plan: p.Name, MonthlyFee: p.MonthlyFee, Lines: []Line{},
		Maximum: p.MonthlyFee, RunRate: p.MonthlyFee,
	}
	for _, allowance := range p.Allowances {
		line := newLine(allowance, usage.Units(customer, allowance.Service), projection)
		bill.Lines = append(bill.Lines, line)
		bill.Maximum = bill.Maximum.Add(line.Maximum)
		bill.RunRate = bill.RunRate.Add(line.RunRate)
	}
	return bill
}

func newLine(allowance plan.Allowance, used uint64, projection usageProjection) Line {
	units := min(projection.nextMonthUnits(used), allowance.UnitsPerMonth)
	return Line{
		Service: allowance.Service, UnitPrice: allowance.UnitPrice,
		UnitsPerMonth: allowance.UnitsPerMonth, Maximum: cost(allowance.UnitsPerMonth, allowance.UnitPrice),
		UsedUnits: used, RunRateUnits: units, RunRate: cost(units, allowance.UnitPrice),
	}
}

func cost(units uint64, price decimal.Decimal) decimal.Decimal {
	return decimal.NewFromUint64(units).Mul(price)
}

// usageProjection extrapolates the usage of the elapsed part of a month to the
// whole next month.
type usageProjection struct {
	nextMonthStart  time.Time
	elapsed         time.Duration
	nextMonthLength time.Duration
}

func newUsageProjection(month Month, now time.Time) (usageProjection, error) {
	start, err := month.Start()
	if err != nil {
		return usageProjection{}, err
	}
	next := start.AddDate(0, 1, 0)
	afterNext := start.AddDate(0, 2, 0)
	return usageProjection{nextMonthStart: next, elapsed: now.Sub(start), nextMonthLength: afterNext.Sub(next)}, nil
}

// nextMonthUnits returns the expected units of the whole next month, rounded
// up. Nothing can be extrapolated at the first instant of a month, so used is
// returned as it is. A result that exceeds 64 bits is replaced by
// plan.MaxUnitsPerMonth, the most that a plan can allow.
func (p usageProjection) nextMonthUnits(used uint64) uint64 {
	if p.elapsed <= 0 {
		return used
	}
	elapsed := big.NewInt(int64(p.elapsed))
	units := new(big.Int).SetUint64(used)
	units.Mul(units, big.NewInt(int64(p.nextMonthLength)))
	units.Add(units, elapsed)
	units.Sub(units, big.NewInt(1))
	units.Quo(units, elapsed)
	if !units.IsUint64() {
		return plan.MaxUnitsPerMonth
	}
	return units.Uint64()
}
