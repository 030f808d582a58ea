package gatewayd

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/internal/admission"
	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/relay"
	"github.com/poplarshore/poplarshore/platform/wire"
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/upstream"
)

// Limits of additional attempts. The settings limit the additional attempts of all
// VMs together; each VM limits its own so that their sum stays within the settings.
const (
	// upstreamRatioFraction and upstreamSlackFraction are the fractions of the
	// ratio and the slack in the settings that the VMs use. stepRatioFraction and
	// stepSlackFraction are the fractions that steps of cascades may use. The rest of the slack is for what VMs take
	// before they have a share of it.
	upstreamRatioFraction = 0.95
	upstreamSlackFraction = 0.7
	stepRatioFraction     = 0.72
	stepSlackFraction     = 0.4
	// accountSlack is the number of additional attempts that a client account may
	// cause on this VM beyond the ratio.
	accountSlack = 20
	// assumedVMCount is the number of VMs between which admission divides the upstreams until the other VMs are known.
	assumedVMCount = 10

	// configAgeMargin is how much older than it counts a copy of the configuration may be, by the time that confirmations
	// take from the store through other VMs.
	configAgeMargin = 200 * time.Millisecond

	// backoffBase and backoffMax bound the delay before a retry.
	backoffBase = 10 * time.Millisecond
	backoffMax  = 100 * time.Millisecond
)

// newRelay creates the retry budgets and returns the server for callers.
func (d *Daemon) newRelay() *relay.Server {
	retryOptions := retry.DefaultOptions()
	retryOptions.Backoff = retry.Backoff{Base: backoffBase, Max: backoffMax}
	d.retryBudgets = retry.NewWindowBudgets(retry.WindowBudgetOptions{
		Span: d.settings.Retries.SpanS.Duration(),
		Allowances: map[retry.ScopeKind]retry.Allowance{
			retry.AccountScope: {Ratio: d.settings.Retries.Ratio, Slack: accountSlack},
		},
	})
	d.updateRetryAllowances()
	deps := relay.Deps{
		Protocol: wire.Protocol{}, Tables: d.operatorSink, Placement: d.directory, Versions: d.shifts,
		Retry: retry.NewPolicy(retryOptions, d.retryBudgets), RepeatEstimator: retry.NewRepeatEstimator(), Pool: d.pool,
		VM: d.settings.VM.ID, Reach: d.reach, Peers: d.newPeers(), PeerPool: d.peerPool, IsPeer: d.isPeer,
		Quarantine: d.quarantines, Digester: quarantine.NewDigester(d.settings.DigestSecret),
		Memory: d.memory, Clock: d.clock, Log: d.log, Metrics: relay.NewMetrics(d.registry),
		AnnounceWork: func(u upstream.Upstream, work time.Duration) {
			d.hints.Announce(hints.Hint{Upstream: u.ID, WorkMS: work.Milliseconds(), Region: d.regionOf(u.Domain)})
		},
		AnnounceSilence: func(u upstream.Upstream) {
			d.hints.Announce(hints.Hint{Upstream: u.ID, Silent: true, Region: d.regionOf(u.Domain)})
		},
		UpstreamsAge: d.upstreamsAge, Config: configSource{d},
		AdmissionRefusal: d.admissionRefusal, Draining: func() bool { return phase(d.phase.Load()) != serving },
	}
	services := admission.New(admission.Options{Clock: d.clock, Log: d.log, Registry: d.registry, Room: d.room})
	if d.settings.LoadControl.Admission {
		deps.Admission = services
	}
	options := relay.DefaultOptions()
	options.MaxWaitingBytes = membudget.PartsOf(d.settings.MemoryMB).Waiting
	options.MaxConfigAge = max(d.settings.Changes.ConfigMS.Duration()-configAgeMargin, 0)
	options.AnswerEnd = d.settings.LoadControl.AnswerEnd
	return relay.New(deps, options)
}

// room returns the number of requests that the upstreams of a service run at once, and the
// number of VMs.
func (d *Daemon) room(service string) (slots, vms int) {
	if vms = d.fleetSize.VMs(); vms == 0 {
		vms = assumedVMCount
	}
	return d.directory.Slots(service), vms
}

// countVMs counts the VMs between which limits are divided. A list that lacks this VM's own row may lack others, too.
func (d *Daemon) countVMs() {
	if !d.vms.Listed() {
		return
	}
	d.fleetSize.Count(len(d.vms.Others())+1, d.clock.Now())
	d.updateRetryAllowances()
}

// rank returns the position of this VM among those between which limits are divided, from 0, and their number.
func (d *Daemon) rank() (rank, vms int) {
	rank, vms = d.vms.Rank()
	return rank, max(vms, d.fleetSize.VMs())
}

// updateRetryAllowances sets this VM's allowances of additional attempts: its share of the slack, and the ratio of its own
// requests.
func (d *Daemon) updateRetryAllowances() {
	limits, now := d.settings.Retries, d.clock.Now()
	d.retryBudgets.SetAllowance(retry.UpstreamScope, retry.Allowance{
		Ratio: limits.Ratio * upstreamRatioFraction, Slack: d.retryShare.Of(limits.Slack*upstreamSlackFraction, now),
	})
	d.retryBudgets.SetAllowance(retry.StepScope, retry.Allowance{
		Ratio: limits.Ratio * stepRatioFraction, Slack: d.retryShare.Of(limits.Slack*stepSlackFraction, now),
	})
}

// sweepRetryBudgets adapts the allowances to the VMs that are known and to the time since the start, and removes unused
// budgets.
func (d *Daemon) sweepRetryBudgets(context.Context) {
	d.countVMs()
	d.retryBudgets.Sweep(d.clock.Now())
}
