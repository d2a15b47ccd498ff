package ledger

import (
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// reportInterval is the minimum interval between reports of a session.
const reportInterval = time.Second

// report is the newest usage report of a session. The next one is created only
// after this one was acknowledged.
type report struct {
	number uint64
	// acknowledged is the number of the newest report that an owner has acknowledged.
	acknowledged uint64
	usage        []Usage
	// deliveredTo is the fence of the owner that received the report.
	deliveredTo Fence
	// createdAt and createdHour are when the report was created, on the monotonic
	// and on the wall clock.
	createdAt   model.Instant
	createdHour uint32
}

func (s *session) reportDue(now model.Instant, closing bool) bool {
	if s.report.number > s.report.acknowledged {
		return s.report.deliveredTo != s.fence
	}
	if now.Sub(s.report.createdAt) < reportInterval && !closing {
		return false
	}
	for _, quota := range s.quotas {
		if len(quota.usage) > 0 {
			return true
		}
	}
	return false
}

// attachReport adds the unacknowledged report to a request unless the current
// owner has received it already. If there is none, it creates one.
func (s *session) attachReport(now Moment, request *Request) {
	if s.report.number == s.report.acknowledged {
		s.createReport(now)
	}
	if s.report.number == s.report.acknowledged || s.report.deliveredTo == s.fence && s.fence != 0 {
		return
	}
	request.ReportNumber = s.report.number
	request.CreatedHour = s.report.createdHour
	request.Usage = s.report.usage
}

func (s *session) createReport(now Moment) {
	usage := s.collectUsage()
	if len(usage) == 0 {
		return
	}
	s.report.number++
	s.report.usage = usage
	s.report.deliveredTo = 0
	s.report.createdAt = now.At
	s.report.createdHour = hourOf(now)
}

// collectUsage removes at most MaxUsageEntries entries from the account quotas and
// returns them.
func (s *session) collectUsage() []Usage {
	var usage []Usage
	for _, account := range sortedAccounts(s.quotas) {
		quota := s.quotas[account]
		for month, use := range quota.usage {
			if len(usage) == MaxUsageEntries {
				break
			}
			usage = append(usage, *use)
			delete(quota.usage, month)
		}
	}
	slices.SortStableFunc(usage, func(a, b Usage) int { return compareAccounts(a.Account, b.Account) })
	return usage
}

// recordDelivery records from a reply which owner has received the report and
// whether it is acknowledged, that is, persistent.
func (s *session) recordDelivery(reply Reply, request Request) {
	if request.ReportNumber != 0 {
		s.report.deliveredTo = reply.Fence
	}
	if reply.Acknowledged >= s.report.number {
		s.report.acknowledged = s.report.number
		s.report.usage = nil
	}
}
