package entryd

import (
	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/vm"
)

// Status is what a VM shows to operators.
type Status struct {
	VM          vm.ID              `json:"vm"`
	Incarnation vm.Incarnation     `json:"incarnation"`
	Domain      domain.ID          `json:"domain"`
	Region      domain.Region      `json:"region"`
	Ready       bool               `json:"ready"`
	Reason      string             `json:"reason"`
	Revision    revision.Revision  `json:"revision"`
	Known       uint64             `json:"known_revision"`
	Freshness   revision.Freshness `json:"freshness"`
	InForce     revision.InForce   `json:"in_force"`
	InFlight    int                `json:"in_flight"`
}

func (d *Daemon) status() any {
	now := d.clock.Now()
	rev, _ := d.node.Current()
	reason, ready := d.ready()
	return Status{
		VM: d.self.ID, Incarnation: d.life, Domain: d.self.Domain, Region: d.self.Region,
		Ready: ready, Reason: reason, Revision: rev, Known: d.node.Known().Number,
		Freshness: d.node.Freshness(now), InForce: d.node.InForce(rev.Number, rev.Time, now),
		InFlight: d.entry.InFlight(),
	}
}
