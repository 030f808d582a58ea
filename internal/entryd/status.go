package entryd

import (
	"time"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/versions"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/takeover"
	"github.com/poplarshore/poplarshore/upstream"
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
	// Rollouts are the roll-outs as this VM sees them.
	Rollouts []versions.State `json:"rollouts,omitempty"`
	// Stopped are the versions stopped as bad on this VM.
	Stopped []model.Ref `json:"stopped,omitempty"`
	// Leaving are the upstreams that get no new work here as they are leaving.
	Leaving []upstream.ID `json:"upstreams_leaving,omitempty"`
	// Backlog is the billing records that wait to be written, in bytes.
	Backlog int `json:"backlog_bytes"`
	// Held is the number of other VMs' ledger segments that wait here.
	Held int `json:"held_segments"`
	// Takeover lists the shares taken over from the older router; nil where
	// there is none.
	Takeover []takeover.Rule `json:"takeover,omitempty"`
	// Store tells whether this VM reaches the platform's store.
	Store string `json:"store"`
}

// storeState tells how long ago this VM's knowledge of the store is.
func (d *Daemon) storeState(now time.Time) string {
	digest := d.node.Digest(now)
	if digest.LastHead == nil {
		return "never reached"
	}
	return "reached " + (time.Duration(digest.LastHead.AgeMillis) * time.Millisecond).String() + " ago"
}

// takeoverRules returns the rules in force.
func (d *Daemon) takeoverRules() []takeover.Rule {
	x := d.follower.Index()
	if x == nil {
		return nil
	}
	return x.Doc.Takeover.Rules
}

// Status returns what this VM shows to operators.
func (d *Daemon) Status() Status {
	now := d.clock.Now()
	rev, _ := d.node.Current()
	reason, ready := d.ready()
	return Status{
		VM: d.self.ID, Incarnation: d.life, Domain: d.self.Domain, Region: d.self.Region,
		Ready: ready, Reason: reason, Revision: rev, Known: d.node.Known().Number,
		Freshness: d.node.Freshness(now), InForce: d.node.InForce(rev.Number, rev.Time, now),
		InFlight: d.entry.InFlight(), Rollouts: d.versions.States(), Stopped: d.versions.StoppedVersions(),
		Leaving: d.departures.InForce(),
		Backlog: d.billing.biller.Backlog(), Held: d.billing.holder.Held(), Takeover: d.takeoverRules(), Store: d.storeState(now),
	}
}

// Members returns the number of live entry VMs known, this one included.
func (d *Daemon) Members() int {
	return len(d.book.All())
}

// Revision returns the number of the configuration in force.
func (d *Daemon) Revision() uint64 {
	if x := d.follower.Index(); x != nil {
		return x.Number
	}
	return 0
}
