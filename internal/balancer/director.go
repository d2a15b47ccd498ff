package balancer

import (
	"net/netip"
	"sync"

	"github.com/balsamlink/balsamlink/internal/membership"
	"github.com/balsamlink/balsamlink/internal/model"
	"github.com/balsamlink/balsamlink/internal/plan"
	"github.com/balsamlink/balsamlink/internal/steering"
)

// director makes a new steering table whenever something that it depends on
// has changed. A change is in the table when the call that brought it returns.
type director struct {
	traffic  *Forwarder
	refusals *refusals
	services []model.Service
	sealer   *steering.Sealer

	mu   sync.Mutex
	view *membership.View
	book *plan.Snapshot
	// announced holds the newest record seen at each agent's address.
	announced map[netip.AddrPort]stamp
}

// stamp tells apart the announcements of the agents at one address.
type stamp struct {
	node        model.NodeID
	incarnation uint64
	version     uint64
}

// start makes the first table. What changed before is kept until then.
func (d *director) start(traffic *Forwarder, refusals *refusals) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.traffic = traffic
	d.refusals = refusals
	d.rebuild()
}

// viewChanged takes a new view of the nodes.
func (d *director) viewChanged(view *membership.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = view
	d.noteAnnouncements()
	d.rebuild()
}

// noteAnnouncements forgets the refusals of agents that have announced
// themselves since: an agent does so once its socket is open.
func (d *director) noteAnnouncements() {
	announced := make(map[netip.AddrPort]stamp, len(d.view.Records))
	for _, record := range d.view.Records {
		if record.Role != model.RoleAgent {
			continue
		}
		now := stamp{record.Node, record.Incarnation, record.Version}
		if d.refusals != nil && d.announced[record.Data] != now {
			d.refusals.forget(record.Data)
		}
		announced[record.Data] = now
	}
	d.announced = announced
}

// bookChanged takes a new book of the operators' documents.
func (d *director) bookChanged(book *plan.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book = book
	d.rebuild()
}

// refusalsChanged takes account of the agents that refuse datagrams.
func (d *director) refusalsChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rebuild()
}

// rebuild makes the table. The caller holds the lock.
func (d *director) rebuild() {
	if d.traffic == nil {
		return
	}
	input := steering.Input{
		Services: d.services,
		Sealer:   d.sealer,
		Refusing: d.refusals.addresses(),
		ZonesOut: d.book.ZonesOut(),
		Revision: d.book.Revisions()[model.DocumentOutOfService],
	}
	for _, record := range d.view.Records {
		if record.Role == model.RoleAgent {
			input.Targets = append(input.Targets, d.target(record))
		}
	}
	d.traffic.SetTable(steering.NewTable(input))
}

func (d *director) target(record membership.Record) steering.Target {
	target := steering.Target{
		Node:         record.Node,
		Service:      record.Service,
		Zone:         record.Zone,
		Agent:        record.Data,
		Running:      !record.State.Ended(),
		OutOfService: d.book.TargetOut(record.Node),
	}
	if record.State == membership.StateActive {
		target.Weight = record.Slots
	}
	return target
}
