package targetgate

import (
	"fmt"

	"github.com/balsamlink/balsamlink/internal/flow"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/routing"
)

// Explain tells in a few lines what the door would do with a flow. It changes
// nothing.
func (d *Gate) Explain(now model.Instant, state *routing.State, key flow.Key) []string {
	target := d.target
	lines := []string{fmt.Sprintf(
		"target %q born %d: known %t, draining %t, gone %t, silent for %d ms, cold %t, all its flows known %t",
		target.ID, target.Incarnation, target.Known, target.Draining, target.Ended, d.SilentFor(now).Milliseconds(), d.Cold(now), d.complete)}
	if known := d.flows[key]; known != nil {
		lines = append(lines, fmt.Sprintf("flow: open %t, answer owed %t, incarnation %d, last packet in %d ms ago, out %d ms ago",
			known.open, known.busy, known.born, now.Sub(known.lastIn).Milliseconds(), now.Sub(known.lastOut).Milliseconds()))
	} else {
		lines = append(lines, "flow: not in the table")
	}
	reason := d.permit(state, key)
	if reason == ReasonNone {
		reason = d.refusal(now)
	}
	pressure := d.AdmissionState(now)
	return append(lines, fmt.Sprintf("a new flow would be refused for: %s; slots %d, busy %d, fresh %d, waiting %d, opened lately %d",
		reason, pressure.Slots, pressure.InFlight, pressure.AwaitingRequest, pressure.Waiting, pressure.RecentlyOpened))
}
