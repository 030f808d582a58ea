package gatewayd

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/relay"
	"github.com/poplarshore/poplarshore/platform/wire"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/upstream"
)

// Each VM keeps its further attempts within its part of what all VMs may send
// together.
const (
	// ratioShare and slackShare are the parts of the bounds that are used, and
	// stepRatioShare and stepSlackShare those that steps of cascades may take.
	ratioShare     = 0.95
	slackShare     = 0.8
	stepRatioShare = 0.72
	stepSlackShare = 0.4
	// accountSlack is the number of further attempts that one client account
	// may have beyond the ratio.
	accountSlack = 20
	// unknownVMs is the number assumed before the others are known.
	unknownVMs = 10

	backoffBase = 10 * time.Millisecond
	backoffMax  = 100 * time.Millisecond
)

func (d *Daemon) newRelay() *relay.Server {
	options := retry.DefaultOptions()
	options.Backoff = retry.Backoff{Base: backoffBase, Max: backoffMax}
	d.purse = retry.NewWindowBudgets(retry.WindowBudgetOptions{
		Span: d.settings.Retries.SpanS.Duration(),
		Allowances: map[retry.ScopeKind]retry.Allowance{
			retry.AccountScope: {Ratio: d.settings.Retries.Ratio, Slack: accountSlack},
		},
	})
	d.allow(unknownVMs)
	return relay.New(relay.Deps{
		Protocol: wire.Protocol{}, Tables: d.operators, Placement: d.directory, Versions: d.shifts,
		Retry: retry.NewPolicy(options, d.purse), RepeatEstimator: retry.NewRepeatEstimator(), Pool: d.pool,
		Clock: d.clock, Log: d.log, Metrics: relay.NewMetrics(d.registry),
		AnnounceWork: func(id upstream.ID, work time.Duration) {
			d.hints.Broadcast(hints.Hint{Upstream: id, WorkMS: work.Milliseconds()})
		},
		Aborting:         func() bool { return phase(d.phase.Load()) == cutting },
		AdmissionRefusal: d.refusal, Draining: func() bool { return phase(d.phase.Load()) != serving },
	}, relay.DefaultOptions())
}

// allow sets this VM's part of the bounds.
func (d *Daemon) allow(vms int) {
	r := d.settings.Retries
	d.purse.SetAllowance(retry.UpstreamScope, retry.Allowance{
		Ratio: r.Ratio * ratioShare, Slack: r.Slack * slackShare / float64(vms),
	})
	d.purse.SetAllowance(retry.StepScope, retry.Allowance{
		Ratio: r.Ratio * stepRatioShare, Slack: r.Slack * stepSlackShare / float64(vms),
	})
}

// sharePurse follows the number of VMs.
func (d *Daemon) sharePurse(context.Context) {
	if peers := len(d.vms.Others()); peers > 0 {
		d.allow(peers + 1)
	}
	d.purse.Sweep(d.clock.Now())
}
