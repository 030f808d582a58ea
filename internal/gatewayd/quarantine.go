package gatewayd

import (
	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/quarantine"
)

// newQuarantines returns the guard against requests that crash upstreams, which shares its
// evidence by hints and the table of the VMs.
func (d *Daemon) newQuarantines() *quarantines.Guard {
	return quarantines.New(quarantines.Options{
		VM: d.settings.VM.ID, Table: vmTable, Blame: quarantine.DefaultOptions(),
		SharedClock: d.store, Writer: d.store,
		Report: func(m quarantines.Message) {
			m.ForAll = true
			d.announceEvidence(m)
		},
		Broadcast: d.announceEvidence, Rank: d.vms.Rank,
		Clock: d.clock, Log: d.log, Registry: d.registry,
	})
}

func (d *Daemon) announceEvidence(m quarantines.Message) {
	d.hints.Announce(hints.Hint{Upstream: m.Upstream(), Quarantine: &m})
}
