package target

// Ledger is what a stand-in target has run. Counts above 1 are doubles.
type Ledger struct {
	// RunsByNonce counts runs by the nonce of their request.
	RunsByNonce map[string]int `json:"nonces"`
	// RunsByKey counts the runs of bookings by their idempotency key.
	RunsByKey map[string]int `json:"keys"`
	// Bookings, Files and Feeds count the requests that began.
	Bookings int `json:"bookings"`
	Files    int `json:"files"`
	Feeds    int `json:"feeds"`
	// Collapses counts how often the target fell over.
	Collapses int `json:"collapses"`
	// Shed counts the requests that were refused with 503.
	Shed int `json:"shed"`
	// Cancelled counts the requests whose caller gave up.
	Cancelled int `json:"cancelled"`
	// MaxInFlight is the largest number of requests at once.
	MaxInFlight int `json:"max_in_flight"`
	// Deadlines counts the requests that carried a deadline.
	Deadlines int `json:"deadlines"`
	// LastDeadlineMs is the deadline that came last, in milliseconds.
	LastDeadlineMs int64 `json:"last_deadline_ms"`
	// Untracked counts the nonces and keys that were dropped at the bound.
	Untracked int `json:"forgotten"`
}

// maxLedgerEntries bounds the nonces and the keys that are kept.
const maxLedgerEntries = 1 << 20

func newLedger() Ledger {
	return Ledger{RunsByNonce: map[string]int{}, RunsByKey: map[string]int{}}
}

func (l *Ledger) ran(nonce, key string) {
	l.count(l.RunsByNonce, nonce)
	l.count(l.RunsByKey, key)
}

func (l *Ledger) count(runs map[string]int, name string) {
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
