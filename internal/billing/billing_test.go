package billing

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shopspring/decimal"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
)

func money(text string) decimal.Decimal { return decimal.RequireFromString(text) }

// lists returns lists with the given customers, the plan "studio" that allows the
// given units of the service memberdesk and 3 units of proofroom, and the plan
// "free" without allowances.
func lists(planOf map[model.Customer]plan.Name, units uint64) plan.Lists {
	var result plan.Lists
	for customer, name := range planOf {
		result.Customers.Customers = append(result.Customers.Customers, plan.Customer{Name: customer, Plan: name})
	}
	allowance := func(service model.Service, units uint64, price string) plan.Allowance {
		return plan.Allowance{Service: service, Burst: 1, InFlight: 1, UnitsPerMonth: units, UnitPrice: money(price)}
	}
	result.Plans = plan.Plans{Currency: "ZAR", Plans: []plan.Plan{
		{Name: "studio", MonthlyFee: money("100.10"), Allowances: []plan.Allowance{
			allowance("memberdesk", units, "0.1"), allowance("proofroom", 3, "0.2"),
		}},
		{Name: "free"},
	}}
	return result
}

// usageOf returns the usage of January 2027, in which customer a has used units+1
// units of memberdesk and customer b 2 units of proofroom. The totals of December
// must be ignored.
func usageOf(units uint64) Usage {
	return NewUsage("2027-01", []Totals{
		{Month: "2027-01", Used: []ServiceUsage{{"a", "memberdesk", units}}},
		{Month: "2026-12", Used: []ServiceUsage{{"a", "memberdesk", 1 << 40}}},
		{Month: "2027-01", Used: []ServiceUsage{{"a", "memberdesk", 1}, {"b", "proofroom", 2}}},
	})
}

func TestForecastIsExact(t *testing.T) {
	// 14 of January's 31 days have elapsed, so 13+1 units extrapolate to 28 units
	// in the 28 days of February.
	now := time.Date(2027, 1, 15, 2, 0, 0, 0, time.FixedZone("SAST", 2*60*60))
	forecast, err := NewForecast(lists(map[model.Customer]plan.Name{"a": "studio", "b": "free"}, 30), usageOf(13), now)
	require.NoError(t, err)
	require.Equal(t, Month("2027-02"), forecast.Month)
	require.Len(t, forecast.Bills, 2)
	// The maximum is 100.10 + 30*0.1 + 3*0.2. At the run rate, 28 units of memberdesk
	// and none of proofroom are used: 100.10 + 28*0.1.
	require.Equal(t, "103.7", forecast.Bills[0].Maximum.String())
	require.Equal(t, uint64(28), forecast.Bills[0].Lines[0].RunRateUnits)
	require.Equal(t, "102.9", forecast.Bills[0].RunRate.String())
	require.Equal(t, "0", forecast.Bills[1].Maximum.String())
	require.Equal(t, "103.7", forecast.Maximum.String())
	forecast, err = NewForecast(lists(map[model.Customer]plan.Name{"a": "studio"}, 30), usageOf(13), now.AddDate(0, 0, 1))
	require.NoError(t, err)
	require.Equal(t, uint64(27), forecast.Bills[0].Lines[0].RunRateUnits, "14 * 28 / 15 is rounded up")
	_, err = NewForecast(lists(nil, 1), usageOf(1), now.AddDate(0, 1, 0))
	require.ErrorContains(t, err, "2027-02")
}

func TestRunRateNeverExceedsTheMaximumBill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		elapsed := rapid.Int64Range(0, int64(400*24*time.Hour)).Draw(t, "time")
		now := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(elapsed))
		units := rapid.Uint64Range(0, plan.MaxUnitsPerMonth).Draw(t, "units")
		used := rapid.Uint64Range(0, units).Draw(t, "used")
		usage := NewUsage(MonthOf(now), []Totals{{Month: MonthOf(now), Used: []ServiceUsage{{"a", "memberdesk", used}}}})
		forecast, err := NewForecast(lists(map[model.Customer]plan.Name{"a": "studio"}, units), usage, now)
		require.NoError(t, err)
		nextMonth := time.Date(now.Year(), now.Month()+1, 1, 0, 0, 0, 0, time.UTC)
		require.Equal(t, MonthOf(nextMonth), forecast.Month)
		require.False(t, forecast.RunRate.GreaterThan(forecast.Maximum))
		// 100.7 is the monthly fee and the price of three units of proofroom.
		maximum := money("100.7").Add(decimal.NewFromUint64(units).Div(decimal.NewFromInt(10)))
		require.True(t, maximum.Equal(forecast.Maximum), forecast.Maximum)
		if used > 0 {
			require.NotZero(t, forecast.Bills[0].Lines[0].RunRateUnits)
		}
	})
}

func TestReductionsAreLoweredLimitsBelowTheUnitsUsed(t *testing.T) {
	planOf := map[model.Customer]plan.Name{"a": "studio"}
	usage := usageOf(13)
	require.Empty(t, Reductions(lists(planOf, 20), lists(planOf, 14), usage))
	require.Empty(t, Reductions(lists(planOf, 10), lists(planOf, 10), usage), "was below before the change")
	want := []Reduction{{Customer: "a", Service: "memberdesk", Used: 14, Before: 20, After: 13}}
	require.Equal(t, want, Reductions(lists(planOf, 20), lists(planOf, 13), usage))
	for _, planAfter := range []map[model.Customer]plan.Name{{"a": "free"}, {"b": "studio"}} {
		reductions := Reductions(lists(planOf, 20), lists(planAfter, 20), usage)
		require.Equal(t, []Reduction{{Customer: "a", Service: "memberdesk", Used: 14, Before: 20}}, reductions)
	}
}

func TestDecodeTotalsNamesTheInvalidField(t *testing.T) {
	_, err := DecodeTotals([]byte(`{"month":"2026-13"}`))
	require.ErrorContains(t, err, "month")
	body, err := json.Marshal(Totals{Month: "2026-12", Used: []ServiceUsage{{"a", "memberdesk", 3}}})
	require.NoError(t, err)
	totals, err := DecodeTotals(body)
	require.NoError(t, err)
	require.Equal(t, uint64(3), NewUsage("2026-12", []Totals{totals}).Units("a", "memberdesk"))
}
