package target

// Ledger is what a stand-in target has run. Counts above 1 are doubles.
type Ledger struct {
	// Nonces counts runs by the nonce of their request.
	Nonces map[string]int `json:"nonces"`
	// Keys counts the runs of bookings by their idempotency key.
	Keys map[string]int `json:"keys"`
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
	// Forgotten counts the nonces and keys that were dropped at the bound.
	Forgotten int `json:"forgotten"`
}

// maxLedgerEntries bounds the nonces and the keys that are kept.
const maxLedgerEntries = 1 << 20

func newLedger() Ledger {
	return Ledger{Nonces: map[string]int{}, Keys: map[string]int{}}
}

func (l *Ledger) ran(nonce, key string) {
	l.count(l.Nonces, nonce)
	l.count(l.Keys, key)
}

func (l *Ledger) count(runs map[string]int, name string) {
	if name == "" {
		return
	}
	if _, known := runs[name]; !known && len(runs) >= maxLedgerEntries {
		l.Forgotten++
		return
	}
	runs[name]++
}

func (l *Ledger) clone() Ledger {
	copied := *l
	copied.Nonces = cloneCounts(l.Nonces)
	copied.Keys = cloneCounts(l.Keys)
	return copied
}

func cloneCounts(counts map[string]int) map[string]int {
	copied := make(map[string]int, len(counts))
	for name, count := range counts {
		copied[name] = count
	}
	return copied
}
