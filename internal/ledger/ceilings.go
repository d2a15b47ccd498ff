package ledger

import "slices"

// ceilingWriter tracks the single outstanding write of the ceilings.
type ceilingWriter struct {
	writePending bool
}

// nextWriteID returns the ID of the next write.
func (s *Shard) nextWriteID() WriteID {
	s.lastWrite++
	return WriteID{Fence: s.fence, OwnerID: s.ownerID, Write: s.lastWrite}
}

// CeilingsDue reports whether an account needs a higher ceiling and no write of
// the ceilings is outstanding.
func (s *Shard) CeilingsDue() bool {
	if s.ceilings.writePending {
		return false
	}
	for _, units := range s.units {
		if units.raisePending {
			return true
		}
	}
	return false
}

// ProposeCeilings returns the next ceilings document to write. Until the caller
// reports the outcome with CeilingsWritten or CeilingsFailed, the lower of the
// old and the new ceiling applies to each account.
func (s *Shard) ProposeCeilings(now Moment, terms Terms) Ceilings {
	s.ceilings.writePending = true
	doc := Ceilings{WriteID: s.nextWriteID(), Closed: s.lastClosedMonth}
	for _, key := range s.unitKeys() {
		units := s.units[key]
		units.raisePending = false
		if key.Month <= s.lastClosedMonth {
			continue
		}
		units.proposed = s.ceilingFor(terms, key, units)
		doc.Ceilings = append(doc.Ceilings, ceilingOf(key, units.proposed))
	}
	return doc
}

// ProposeInheritedCeilings returns the inherited ceilings under the fence of
// this owner. It is the first document that an owner writes after a takeover.
func (s *Shard) ProposeInheritedCeilings() Ceilings {
	s.ceilings.writePending = true
	doc := Ceilings{WriteID: s.nextWriteID(), Closed: s.lastClosedMonth}
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

// ceilingFor returns the ceiling to propose for an account: the committed units
// plus a reserve that the plan limits. The reserve is left out if the shard is
// closing or the plan no longer allows the service.
func (s *Shard) ceilingFor(terms Terms, key unitKey, units *unitState) uint64 {
	allowance, allowed := terms.Allowances.Allowance(key.Account.Customer, key.Account.Service)
	if s.closing || !allowed {
		return units.committed
	}
	return max(units.committed, min(units.committed+reserve(allowance), allowance.UnitsPerMonth))
}

// CeilingsWritten confirms that the proposed document is persistent.
func (s *Shard) CeilingsWritten() {
	s.ceilings.writePending = false
	for _, units := range s.units {
		units.ceiling = units.proposed
	}
}

// CeilingsFailed reports that the proposed document was not written and can no
// longer take effect. A write with an unknown outcome must not be reported as
// failed.
func (s *Shard) CeilingsFailed() {
	s.ceilings.writePending = false
	for _, units := range s.units {
		units.raisePending = units.raisePending || units.proposed > units.ceiling
		units.proposed = units.ceiling
	}
}

// Close stops granting units. The next proposed document lowers the ceilings to
// the units already granted.
func (s *Shard) Close() { s.closing = true }
