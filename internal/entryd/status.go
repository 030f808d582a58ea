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

// Status is the state of an entry VM, as its operator interface returns it.
type Status struct {
	VM          vm.ID          `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
	Domain      domain.ID      `json:"domain"`
	Region      domain.Region  `json:"region"`
	// Ready reports whether the load balancer should send callers to this VM, and
	// Reason why.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason"`
	// Revision is the installed revision of the configuration, KnownRevision the
	// number of the highest one that the VM knows of.
	Revision      revision.Revision  `json:"revision"`
	KnownRevision uint64             `json:"known_revision"`
	Freshness     revision.Freshness `json:"freshness"`
	// InForce lists the VMs by whether they have installed Revision.
	InForce revision.InForce `json:"in_force"`
	// InFlight is the number of callers' requests in flight.
	InFlight int `json:"in_flight"`
	// Rollouts are the states of the roll-outs on this VM.
	Rollouts []versions.State `json:"rollouts,omitempty"`
	// StoppedVersions lists the model versions that this VM has stopped using because it
	// found them bad.
	StoppedVersions []model.Ref `json:"stopped,omitempty"`
	// LeavingUpstreams lists the upstreams to which this VM sends no new requests because
	// they are leaving.
	LeavingUpstreams []upstream.ID `json:"upstreams_leaving,omitempty"`
	// BacklogBytes is the size of the uncommitted billing records in bytes.
	BacklogBytes int `json:"backlog_bytes"`
	// HeldSegments is the number of ledger segments held for other VMs until the store
	// accepts them.
	HeldSegments int `json:"held_segments"`
	// Takeover lists the shares of traffic taken over from the older router; nil if
	// there is none.
	Takeover []takeover.Rule `json:"takeover,omitempty"`
	// Store describes when the platform's store was last reached.
	Store string `json:"store"`
}

// storeStatus describes the age of the newest evidence about the store's head row,
// which this VM or one of its peers has read.
func (d *Daemon) storeStatus(now time.Time) string {
	digest := d.node.Digest(now)
	if digest.LastHead == nil {
		return "never reached"
	}
	return "reached " + (time.Duration(digest.LastHead.AgeMillis) * time.Millisecond).String() + " ago"
}

// takeoverRules returns the takeover rules of the configuration in force, or nil
// without a configuration.
func (d *Daemon) takeoverRules() []takeover.Rule {
	index := d.follower.Index()
	if index == nil {
		return nil
	}
	return index.Doc.Takeover.Rules
}

// Status returns the current state of this VM.
func (d *Daemon) Status() Status {
	now := d.clock.Now()
	rev, _ := d.node.Current()
	reason, ready := d.readiness()
	return Status{
		VM: d.self.ID, Incarnation: d.incarnation, Domain: d.self.Domain, Region: d.self.Region,
		Ready: ready, Reason: reason, Revision: rev, KnownRevision: d.node.Known().Number,
		Freshness: d.node.Freshness(now), InForce: d.node.InForce(rev.Number, rev.Time, now),
		InFlight: d.entry.InFlight(), Rollouts: d.versions.States(), StoppedVersions: d.versions.StoppedVersions(),
		LeavingUpstreams: d.departures.InForce(),
		BacklogBytes:     d.billing.biller.Backlog(), HeldSegments: d.billing.holder.Held(), Takeover: d.takeoverRules(), Store: d.storeStatus(now),
	}
}

// MemberCount returns the number of live entry VMs that this one knows, itself included.
func (d *Daemon) MemberCount() int {
	return len(d.addressBook.All())
}

// RevisionNumber returns the number of the configuration in force, or 0 without
// a configuration.
func (d *Daemon) RevisionNumber() uint64 {
	if index := d.follower.Index(); index != nil {
		return index.Number
	}
	return 0
}
