package request

import (
	"expvar"
	"time"
)

// counters are published by package expvar as "balsam_requests".
var counters = expvar.NewMap("balsam_requests")

func count(name string) { counters.Add(name, 1) }

// recordAttempt counts an attempt at the target and its time until the response header.
func recordAttempt(latency time.Duration) {
	counters.Add("offers", 1)
	counters.Add("offer_microseconds", latency.Microseconds())
}
