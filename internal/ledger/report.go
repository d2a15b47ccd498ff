package ledger

import (
	"slices"
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// reportInterval is how long a served unit may wait before it is reported.
const reportInterval = time.Second

// report is the newest report of a session. The next one is formed after it
// was acknowledged.
type report struct {
	number       uint64
	acknowledged uint64
	uses         []Usage
	// told is the fence of the keeper that has the report.
	told Fence
	// formed and hour are when the report was made, on both clocks.
	formed model.Instant
	hour   uint32
}

func (s *session) reportDue(now model.Instant, closing bool) bool {
	if s.report.number > s.report.acknowledged {
		return s.report.told != s.fence
	}
	if now.Sub(s.report.formed) < reportInterval && !closing {
		return false
	}
	for _, holding := range s.holdings {
		if len(holding.uses) > 0 {
			return true
		}
	}
	return false
}

func (s *session) attachReport(now Moment, request *Request) {
	if s.report.number == s.report.acknowledged {
		s.formReport(now)
	}
	if s.report.number == s.report.acknowledged || s.report.told == s.fence && s.fence != 0 {
		return
	}
	request.ReportNumber = s.report.number
	request.CreatedHour = s.report.hour
	request.Usage = s.report.uses
}

func (s *session) formReport(now Moment) {
	uses := s.pendingUses()
	if len(uses) == 0 {
		return
	}
	s.report.number++
	s.report.uses = uses
	s.report.told = 0
	s.report.formed = now.At
	s.report.hour = hourOf(now)
}

func (s *session) pendingUses() []Usage {
	var uses []Usage
	for _, account := range sortedAccounts(s.holdings) {
		holding := s.holdings[account]
		for month, use := range holding.uses {
			if len(uses) == MaxUsageEntries {
				break
			}
			uses = append(uses, *use)
			delete(holding.uses, month)
		}
	}
	slices.SortStableFunc(uses, func(a, b Usage) int { return compareAccounts(a.Account, b.Account) })
	return uses
}

func (s *session) noteReport(reply Reply, request Request) {
	if request.ReportNumber != 0 {
		s.report.told = reply.Fence
	}
	if reply.Acknowledged >= s.report.number {
		s.report.acknowledged = s.report.number
		s.report.uses = nil
	}
}
