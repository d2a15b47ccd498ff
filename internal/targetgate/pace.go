package targetgate

import "time"

const (
	// assumedWork is the time that a target is assumed to work on a request before any
	// response has been seen.
	assumedWork = 60 * time.Millisecond
	// minWork limits the estimate from below, so that one response that was ready at once
	// does not make the rate infinite.
	minWork = time.Millisecond
	// workSampleWeight is the weight of one response in the estimate.
	workSampleWeight = 0.1
)

// pace estimates how fast the target serves requests, from the times of its responses.
type pace struct {
	// work is the estimated time for which a request occupies a slot.
	work time.Duration
}

// observe records the time to the first packet of a response while the given number of
// requests, this one included, shared the target's slots. It returns the part of that time
// for which the request occupied a slot.
func (p *pace) observe(latency time.Duration, inFlight, slots int) time.Duration {
	share := min(1, float64(slots)/float64(max(1, inFlight)))
	sample := max(minWork, time.Duration(float64(latency)*share))
	p.work = p.estimate() + time.Duration(workSampleWeight*float64(sample-p.estimate()))
	return sample
}

// estimate returns the estimated work, which is assumedWork before any response.
func (p *pace) estimate() time.Duration {
	if p.work == 0 {
		return assumedWork
	}
	return p.work
}

// servedWithin returns how many requests the target is expected to serve in a time.
func (p *pace) servedWithin(d time.Duration, slots int) int {
	return int(float64(slots) * float64(max(0, d)) / float64(p.estimate()))
}
