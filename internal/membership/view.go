package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/balsamlink/balsamlink/internal/model"
)

// View is an immutable set of the running nodes, sorted by node ID. No two of
// its records share an address.
type View struct {
	Records []Record
	// hidden holds the running nodes that have an address in common with a newer
	// node.
	hidden []Record
}

// Find returns the record of a node, and false if the view does not contain it.
func (v *View) Find(node model.NodeID) (Record, bool) {
	i, found := slices.BinarySearchFunc(v.Records, node, func(r Record, id model.NodeID) int {
		return cmp.Compare(r.Node, id)
	})
	if !found {
		return Record{}, false
	}
	return v.Records[i], true
}

// Balancers returns the records of all balancers, sorted by node ID.
func (v *View) Balancers() []Record {
	var balancers []Record
	for _, record := range v.Records {
		if record.Role == model.RoleBalancer {
			balancers = append(balancers, record)
		}
	}
	return balancers
}

// newView keeps the running nodes that own their addresses and hides the
// others.
func newView(running []Record) *View {
	slices.SortFunc(running, func(a, b Record) int { return cmp.Compare(a.Node, b.Node) })
	control := owners(running, func(r Record) netip.AddrPort { return r.Control })
	data := owners(running, func(r Record) netip.AddrPort { return r.Data })
	view := &View{Records: make([]Record, 0, len(running))}
	for _, record := range running {
		if control[record.Control] == record.Node && ownsDataAddress(data, record) {
			view.Records = append(view.Records, record)
		} else {
			view.hidden = append(view.hidden, record)
		}
	}
	return view
}

func ownsDataAddress(owner map[netip.AddrPort]model.NodeID, record Record) bool {
	return !record.Data.IsValid() || owner[record.Data] == record.Node
}

// owners returns the node with the highest incarnation at each address. The
// records are sorted by node ID, so on every node a tie goes to the last ID.
func owners(records []Record, address func(Record) netip.AddrPort) map[netip.AddrPort]model.NodeID {
	best := make(map[netip.AddrPort]Record, len(records))
	for _, record := range records {
		addr := address(record)
		if held, taken := best[addr]; !taken || record.Incarnation >= held.Incarnation {
			best[addr] = record
		}
	}
	owner := make(map[netip.AddrPort]model.NodeID, len(best))
	for addr, record := range best {
		owner[addr] = record.Node
	}
	return owner
}
