package request

import (
	"expvar"
	"time"
)

// counters are published as "balsam_requests".
var counters = expvar.NewMap("balsam_requests")

func count(name string) { counters.Add(name, 1) }

func recordAttempt(latency time.Duration) {
	counters.Add("offers", 1)
	counters.Add("offer_microseconds", latency.Microseconds())
}
