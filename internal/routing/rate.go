package routing

// MaxRate is the largest rate that a Rate holds, per second. Larger ones do not limit
// anything.
const MaxRate = 1e6

// Rate is a number per second that the operators may have left unstated. The zero value
// is an unstated rate.
type Rate struct {
	perSecond float64
	stated    bool
}

// StatedRate returns a stated rate, between 0 and MaxRate.
func StatedRate(perSecond float64) Rate {
	return Rate{perSecond: min(MaxRate, max(0, perSecond)), stated: true}
}

// PerSecond returns the rate, and false if it is not stated.
func (r Rate) PerSecond() (rate float64, stated bool) { return r.perSecond, r.stated }
