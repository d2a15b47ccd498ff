package ledger

import (
	"cmp"
	"slices"

	"github.com/balsamlink/balsamlink/internal/model"
)

// meteringWriter follows the persistent totals, the reports that wait to be
// counted and those in the one open write.
type meteringWriter struct {
	persistent totals
	proposed   totals
	staged     map[process]stagedReport
	writing    map[process]stagedReport
}

// process is one incarnation of an agent.
type process struct {
	node        model.NodeID
	incarnation uint64
}

type stagedReport struct {
	counted CountedReport
	// formed is when the agent made the report, in hours since 1970.
	formed uint32
	uses   []Usage
}

func newMeteringWriter(doc Metering) meteringWriter {
	return meteringWriter{persistent: totalsOf(doc), staged: map[process]stagedReport{}}
}

// acknowledged returns the newest persistent report of an agent's incarnation.
func (w *meteringWriter) acknowledged(node model.NodeID, incarnation uint64) uint64 {
	counted := w.persistent.counted[node]
	if counted.Incarnation != incarnation {
		return 0
	}
	return counted.Report
}

// stage keeps a report for the next write unless it is known already.
func (w *meteringWriter) stage(now Moment, req Request) {
	key := process{node: req.Node, incarnation: req.Incarnation}
	report := stagedReport{
		counted: CountedReport{
			Node:        req.Node,
			Incarnation: req.Incarnation,
			Report:      req.ReportNumber,
			Hour:        hourOf(now),
		},
		formed: req.CreatedHour,
		uses:   req.Usage,
	}
	_, writing := w.writing[key]
	if req.ReportNumber == 0 || writing || w.persistent.covers(report.counted) {
		return
	}
	w.staged[key] = report
}

func hourOf(now Moment) uint32 { return uint32(now.Wall.Unix() / secondsPerHour) }

// MeteringDue reports whether reports wait to be written.
func (s *Shard) MeteringDue() bool { return s.metering.writing == nil && len(s.metering.staged) > 0 }

// ProposeMetering returns the next document of totals to write.
func (s *Shard) ProposeMetering(now Moment) Metering {
	w := &s.metering
	w.writing = w.staged
	w.staged = map[process]stagedReport{}
	w.proposed = w.persistent.clone()
	w.proposed.roll(MonthsAt(now.Wall).First)
	last := MonthsAt(now.Wall).Last
	for _, key := range sortedProcesses(w.writing) {
		report := w.writing[key]
		if !w.proposed.count(report, hourOf(now), last) {
			report.uses = nil
			w.writing[key] = report
		}
	}
	w.proposed.forget(hourOf(now))
	return w.proposed.document(s.stamp())
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

// MeteringWritten tells that the proposed document is persistent. Units that
// were given back may be granted again from now on.
func (s *Shard) MeteringWritten() {
	w := &s.metering
	w.persistent = w.proposed
	for _, report := range w.writing {
		for _, use := range report.uses {
			s.takeBack(use)
		}
	}
	w.writing = nil
}

func (s *Shard) takeBack(use Usage) {
	units := s.units[unitKey{Month: use.Month, Account: use.Account}]
	if units != nil {
		units.committed -= min(use.Returned, units.committed)
	}
}

// MeteringFailed tells that the proposed document was not written and never
// will be.
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
// totals because they might have been counted before.
func (s *Shard) Uncounted() uint64 { return s.metering.persistent.uncounted }
