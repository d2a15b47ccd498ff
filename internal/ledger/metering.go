package ledger

import (
	"cmp"
	"slices"

	"github.com/balsamlink/balsamlink/internal/model"
)

// meteringWriter tracks the persistent totals, the staged reports that wait for
// the next write, and the reports in the single outstanding write.
type meteringWriter struct {
	persistent totals
	proposed   totals
	staged     map[process]stagedReport
	writing    map[process]stagedReport
}

// process identifies one incarnation of an agent.
type process struct {
	node        model.NodeID
	incarnation uint64
}

// stagedReport is a report that is not persistent yet.
type stagedReport struct {
	counted CountedReport
	// createdHour is when the agent created the report, in hours since 1970.
	createdHour uint32
	usage       []Usage
}

func newMeteringWriter(doc Metering) meteringWriter {
	return meteringWriter{persistent: totalsOf(doc), staged: map[process]stagedReport{}}
}

// acknowledged returns the number of the newest persistent report of an agent's
// incarnation, or 0.
func (w *meteringWriter) acknowledged(node model.NodeID, incarnation uint64) uint64 {
	counted := w.persistent.counted[node]
	if counted.Incarnation != incarnation {
		return 0
	}
	return counted.Report
}

// stage queues a report for the next write unless it is already being written
// or persistent.
func (w *meteringWriter) stage(now Moment, req Request) {
	key := process{node: req.Node, incarnation: req.Incarnation}
	report := stagedReport{
		counted: CountedReport{
			Node:        req.Node,
			Incarnation: req.Incarnation,
			Report:      req.ReportNumber,
			Hour:        hourOf(now),
		},
		createdHour: req.CreatedHour,
		usage:       req.Usage,
	}
	_, writing := w.writing[key]
	if req.ReportNumber == 0 || writing || w.persistent.covers(report.counted) {
		return
	}
	w.staged[key] = report
}

func hourOf(now Moment) uint32 { return uint32(now.Wall.Unix() / secondsPerHour) }

// MeteringDue reports whether staged reports wait and no write of the totals is
// outstanding.
func (s *Shard) MeteringDue() bool { return s.metering.writing == nil && len(s.metering.staged) > 0 }

// ProposeMetering returns the next document of totals to write. The caller
// reports the outcome with MeteringWritten or MeteringFailed.
func (s *Shard) ProposeMetering(now Moment) Metering {
	w := &s.metering
	w.writing = w.staged
	w.staged = map[process]stagedReport{}
	w.proposed = w.persistent.clone()
	w.proposed.startMonth(MonthsAt(now.Wall).First)
	last := MonthsAt(now.Wall).Last
	for _, key := range sortedProcesses(w.writing) {
		report := w.writing[key]
		if !w.proposed.count(report, hourOf(now), last) {
			// Without usage, MeteringWritten releases no returned units of a report
			// that was left out of the totals.
			report.usage = nil
			w.writing[key] = report
		}
	}
	w.proposed.expireReports(hourOf(now))
	return w.proposed.document(s.nextWriteID())
}

// sortedProcesses orders reports so that an older incarnation is counted first.
func sortedProcesses(reports map[process]stagedReport) []process {
	keys := make([]process, 0, len(reports))
	for key := range reports {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b process) int {
		return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.incarnation, b.incarnation))
	})
	return keys
}

// MeteringWritten confirms that the proposed document is persistent. Units
// returned by its reports may be granted again.
func (s *Shard) MeteringWritten() {
	w := &s.metering
	w.persistent = w.proposed
	for _, report := range w.writing {
		for _, use := range report.usage {
			s.releaseReturned(use)
		}
	}
	w.writing = nil
}

func (s *Shard) releaseReturned(use Usage) {
	units := s.units[unitKey{Month: use.Month, Account: use.Account}]
	if units != nil {
		units.committed -= min(use.Returned, units.committed)
	}
}

// MeteringFailed reports that the proposed document was not written and can no
// longer take effect. Its reports are staged again.
func (s *Shard) MeteringFailed() {
	w := &s.metering
	for key, report := range w.writing {
		if _, newer := w.staged[key]; !newer {
			w.staged[key] = report
		}
	}
	w.writing = nil
}

// Uncounted returns the number of reported units that were left out of the
// totals because they might have been counted before, or because their month is
// neither the current nor the previous one.
func (s *Shard) Uncounted() uint64 { return s.metering.persistent.uncounted }
