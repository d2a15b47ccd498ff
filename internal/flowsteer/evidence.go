package flowsteer

// Evidence is why a flow certainly is not held, or not open, so that its client may be sent a
// reset. Silence alone shows nothing: without evidence, packets are dropped, forwarded or
// searched for.
type Evidence uint8

// The evidence.
const (
	// EvidenceNone allows no reset.
	EvidenceNone Evidence = iota
	// EvidenceNotOpened is used when no target has accepted the flow's opening packet.
	EvidenceNotOpened
	// EvidenceAgentGone is used when the agent has said that it is gone with its target.
	EvidenceAgentGone
	// EvidenceAgentSilent is used when the agent has fallen silent without an announcement,
	// so that its VM is most likely lost.
	EvidenceAgentSilent
	// EvidenceLifetime is used when the agent has been away for longer than flows may last.
	EvidenceLifetime
	// EvidenceAllDeny is used when every agent has denied to hold the flow, or is lost.
	EvidenceAllDeny
	evidenceCount
)

var evidenceNames = [...]string{"none", "not_opened", "agent_gone", "agent_silent", "lifetime", "all_deny"}

// String returns the name that logs use.
func (e Evidence) String() string {
	if e >= evidenceCount {
		return "invalid"
	}
	return evidenceNames[e]
}

// reset returns the verdict to reset a flow, or to drop the packet if there is no evidence.
func (e Evidence) reset(reason Reason, sequence uint32) Verdict {
	if e == EvidenceNone {
		return Verdict{Reason: reason}
	}
	return Verdict{Action: ActionReset, Reason: reason, Sequence: sequence, Evidence: e}
}
