package target

// Ledger counts what a stand-in target has run since its start. A count above 1
// in RunsByNonce or RunsByKey is a request that ran more than once.
type Ledger struct {
	// RunsByNonce counts runs by the nonce of the request.
	RunsByNonce map[string]int `json:"nonces"`
	// RunsByKey counts runs by the idempotency key of the request.
	RunsByKey map[string]int `json:"keys"`
	// Bookings, Files and Feeds count the admitted requests of each kind.
	Bookings int `json:"bookings"`
	Files    int `json:"files"`
	Feeds    int `json:"feeds"`
	// Collapses counts the collapses from overload.
	Collapses int `json:"collapses"`
	// Shed counts the requests that were rejected with status 503.
	Shed int `json:"shed"`
	// Cancelled counts the requests that ended early: their caller cancelled them or
	// the target collapsed.
	Cancelled int `json:"cancelled"`
	// MaxInFlight is the highest number of requests in flight.
	MaxInFlight int `json:"max_in_flight"`
	// Deadlines counts the admitted requests that had a deadline.
	Deadlines int `json:"deadlines"`
	// LastDeadlineMs is the deadline of the last such request, in milliseconds.
	LastDeadlineMs int64 `json:"last_deadline_ms"`
	// Untracked counts the runs whose nonce or key was not recorded because
	// maxLedgerEntries was reached.
	Untracked int `json:"forgotten"`
}

// maxLedgerEntries bounds RunsByNonce and RunsByKey, each.
const maxLedgerEntries = 1 << 20

func newLedger() Ledger {
	return Ledger{RunsByNonce: map[string]int{}, RunsByKey: map[string]int{}}
}

// recordRun counts a run of the request with the given nonce and idempotency key.
func (l *Ledger) recordRun(nonce, key string) {
	l.increment(l.RunsByNonce, nonce)
	l.increment(l.RunsByKey, key)
}

// increment counts a run under a nonce or key, if the request has one.
func (l *Ledger) increment(runs map[string]int, name string) {
	if name == "" {
		return
	}
	if _, known := runs[name]; !known && len(runs) >= maxLedgerEntries {
		l.Untracked++
		return
	}
	runs[name]++
}

func (l *Ledger) clone() Ledger {
	copied := *l
	copied.RunsByNonce = cloneCounts(l.RunsByNonce)
	copied.RunsByKey = cloneCounts(l.RunsByKey)
	return copied
}

func cloneCounts(counts map[string]int) map[string]int {
	copied := make(map[string]int, len(counts))
	for name, count := range counts {
		copied[name] = count
	}
	return copied
}
