package ledger

import "slices"

// ceilingWriter follows the one open write of the ceilings.
type ceilingWriter struct {
	open bool
}

// stamp returns the identity of the next write.
func (s *Shard) stamp() WriteID {
	s.write++
	return WriteID{Fence: s.fence, OwnerID: s.owner, Write: s.write}
}

// CeilingsDue reports whether a write of the ceilings would help.
func (s *Shard) CeilingsDue() bool {
	if s.ceilings.open {
		return false
	}
	for _, units := range s.units {
		if units.raise {
			return true
		}
	}
	return false
}

// ProposeCeilings returns the next document to write. Until its outcome is
// told, the lower of the old and the new ceilings holds.
func (s *Shard) ProposeCeilings(now Moment, terms Terms) Ceilings {
	s.ceilings.open = true
	doc := Ceilings{WriteID: s.stamp(), Closed: s.closed}
	for _, key := range s.unitKeys() {
		units := s.units[key]
		units.raise = false
		if key.Month <= s.closed {
			continue
		}
		units.proposed = s.ceilingFor(terms, key, units)
		doc.Ceilings = append(doc.Ceilings, ceilingOf(key, units.proposed))
	}
	return doc
}

// ProposeInheritedCeilings returns the inherited ceilings under the fence of this
// keeper. It is the first document that a keeper writes.
func (s *Shard) ProposeInheritedCeilings() Ceilings {
	s.ceilings.open = true
	doc := Ceilings{WriteID: s.stamp(), Closed: s.closed}
	for _, key := range s.unitKeys() {
		doc.Ceilings = append(doc.Ceilings, ceilingOf(key, s.units[key].ceiling))
	}
	return doc
}

func ceilingOf(key unitKey, units uint64) Ceiling {
	return Ceiling{Month: key.Month, Customer: key.Account.Customer, Service: key.Account.Service, Units: units}
}

func (s *Shard) unitKeys() []unitKey {
	keys := make([]unitKey, 0, len(s.units))
	for key := range s.units {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b unitKey) int {
		if a.Month != b.Month {
			return int(a.Month) - int(b.Month)
		}
		return compareAccounts(a.Account, b.Account)
	})
	return keys
}

func (s *Shard) ceilingFor(terms Terms, key unitKey, units *unitState) uint64 {
	allowance, allowed := terms.Allowances.Allowance(key.Account.Customer, key.Account.Service)
	if s.closing || !allowed {
		return units.committed
	}
	return max(units.committed, min(units.committed+ahead(allowance), allowance.UnitsPerMonth))
}

// CeilingsWritten tells that the proposed document is persistent.
func (s *Shard) CeilingsWritten() {
	s.ceilings.open = false
	for _, units := range s.units {
		units.ceiling = units.proposed
	}
}

// CeilingsFailed tells that the proposed document was not written and never
// will be.
func (s *Shard) CeilingsFailed() {
	s.ceilings.open = false
	for _, units := range s.units {
		units.raise = units.raise || units.proposed > units.ceiling
		units.proposed = units.ceiling
	}
}

// Close ends all grants of units. The next document that is proposed lowers the
// ceilings to what was granted.
func (s *Shard) Close() { s.closing = true }
