package ledger

import (
	"maps"
	"slices"

	"github.com/balsamlink/balsamlink/internal/model"
)

const (
	secondsPerHour = 3600
	// maxReportAgeHours is the maximum age of a report when it is counted, and
	// countedRetentionHours is how long a counted report is remembered. The
	// second is longer so that a report cannot be counted again after its record
	// was dropped.
	maxReportAgeHours     = 24
	countedRetentionHours = 2*maxReportAgeHours + 1
)

// totals holds the served units of a shard and the reports included in them.
type totals struct {
	month    Month
	used     map[Account]uint64
	previous map[Account]uint64
	counted  map[model.NodeID]CountedReport
	// uncounted is the number of reported units that are not in the totals: those of
	// reports that could not be counted without the risk of counting them twice, and
	// those of months that add does not count.
	uncounted uint64
}

func totalsOf(doc Metering) totals {
	t := totals{
		month:    doc.Month,
		used:     unitsOf(doc.Used),
		previous: unitsOf(doc.Previous),
		counted:  map[model.NodeID]CountedReport{},
	}
	for _, counted := range doc.Reports {
		t.counted[counted.Node] = counted
	}
	return t
}

func unitsOf(list []Total) map[Account]uint64 {
	units := map[Account]uint64{}
	for _, total := range list {
		units[Account{Customer: total.Customer, Service: total.Service}] = total.Units
	}
	return units
}

func (t totals) clone() totals {
	t.used = maps.Clone(t.used)
	t.previous = maps.Clone(t.previous)
	t.counted = maps.Clone(t.counted)
	return t
}

// covers reports whether a report is already counted.
func (t *totals) covers(c CountedReport) bool {
	counted := t.counted[c.Node]
	if c.Incarnation != counted.Incarnation {
		return c.Incarnation < counted.Incarnation
	}
	return c.Report <= counted.Report
}

// count adds a report and returns whether its usage was accepted. A report is
// left out if it is covered, or so old that its record may have been dropped.
func (t *totals) count(report stagedReport, hour uint32, last Month) bool {
	accepted := !t.covers(report.counted) && report.createdHour+maxReportAgeHours >= hour
	if !t.covers(report.counted) {
		t.counted[report.counted.Node] = report.counted
	}
	for _, use := range report.usage {
		if !accepted || !t.add(use, last) {
			t.uncounted += use.Served
		}
	}
	return accepted
}

// add adds served units to the totals of their month and reports whether they
// were counted. Units of a month after last are not, nor units of a month before the
// previous one.
func (t *totals) add(use Usage, last Month) bool {
	if use.Month > last {
		return false
	}
	t.startMonth(use.Month)
	switch use.Month {
	case t.month:
		addUnits(t.used, use)
	case t.month - 1:
		addUnits(t.previous, use)
	default:
		return use.Served == 0
	}
	return true
}

func addUnits(units map[Account]uint64, use Usage) {
	if use.Served > 0 {
		units[use.Account] += use.Served
	}
}

// startMonth moves the totals to a later month; the preceding month becomes the
// previous one.
func (t *totals) startMonth(month Month) {
	if month <= t.month {
		return
	}
	t.previous = map[Account]uint64{}
	if month == t.month+1 {
		t.previous = t.used
	}
	t.used = map[Account]uint64{}
	t.month = month
}

func (t *totals) expireReports(hour uint32) {
	for node, counted := range t.counted {
		if counted.Hour+countedRetentionHours < hour {
			delete(t.counted, node)
		}
	}
}

func (t *totals) document(writeID WriteID) Metering {
	doc := Metering{
		Month:    t.month,
		Used:     listOf(t.used),
		Previous: listOf(t.previous),
		WriteID:  writeID,
	}
	for _, node := range slices.Sorted(maps.Keys(t.counted)) {
		doc.Reports = append(doc.Reports, t.counted[node])
	}
	return doc
}

func listOf(units map[Account]uint64) []Total {
	list := []Total{}
	for _, account := range sortedAccounts(units) {
		list = append(list, Total{Customer: account.Customer, Service: account.Service, Units: units[account]})
	}
	return list
}
