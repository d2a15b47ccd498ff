package targetgate

import (
	"fmt"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

// Explain returns a few lines of text that say how the gate would treat the flow. It
// does not change the gate.
func (g *Gate) Explain(now model.Instant, state *routing.State, key flow.Key) []string {
	target := g.target
	lines := []string{fmt.Sprintf(
		"target %q born %d: known %t, draining %t, gone %t, silent for %d ms, cold %t, all its flows known %t",
		target.ID, target.Incarnation, target.Known, target.Draining, target.Ended, g.SilentFor(now).Milliseconds(), g.Cold(now), g.flowsComplete)}
	if known := g.flows[key]; known != nil {
		lines = append(lines, fmt.Sprintf("flow: open %t, unconfirmed %t, answer owed %t, incarnation %d, last packet in %d ms ago, out %d ms ago",
			known.open, known.unconfirmed, known.inFlight, known.incarnation, now.Sub(known.lastFromClient).Milliseconds(), now.Sub(known.lastFromTarget).Milliseconds()))
	} else {
		lines = append(lines, "flow: not in the table")
	}
	reason := g.checkPolicy(state, key)
	if reason == ReasonNone {
		reason = g.refusal(now)
	}
	admission := g.AdmissionState(now)
	return append(lines, fmt.Sprintf("a new flow would be refused for: %s; slots %d, busy %d, fresh %d, waiting %d, opened lately %d",
		reason, admission.Slots, admission.InFlight, admission.AwaitingRequest, admission.Queued, admission.RecentlyOpened))
}
