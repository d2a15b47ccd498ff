package packetnode

import (
	"time"

	"github.com/balsamlink/balsamlink/internal/model"
)

// maxPacedTicks limits the heartbeats that are made up for after a tick that came late, in
// ticks.
const maxPacedTicks = 2

// heartbeatPacer spreads a node's heartbeats evenly over their interval. Sent at the same
// moment, they would fill the link of a small VM, and the nodes that started together would
// all fall silent between two such moments. The zero value is ready for use.
type heartbeatPacer struct {
	// credit is the number of heartbeats that may be sent, as of updated.
	credit  float64
	updated model.Instant
}

// take returns how many heartbeats to send now, if each of the recipients is to get one in
// each interval.
func (p *heartbeatPacer) take(now model.Instant, recipients int, interval time.Duration) int {
	perTick := float64(recipients) * float64(tickInterval) / float64(interval)
	if p.updated != 0 {
		ticks := float64(now.Sub(p.updated)) / float64(tickInterval)
		p.credit = min(p.credit+ticks*perTick, max(1, maxPacedTicks*perTick))
	}
	p.updated = now
	count := int(p.credit)
	p.credit -= float64(count)
	return count
}
