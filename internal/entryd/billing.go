package entryd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/internal/billing"
	"github.com/poplarshore/poplarshore/internal/peer"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	// flushTimeout is the time that a graceful stop allows for committing the
	// backlog to the store. What is left is then sent to other VMs.
	flushTimeout = 3 * time.Second
	// maxHoldAttempts is the maximum number of VMs that are asked to hold one
	// segment.
	maxHoldAttempts = 3
	// minCommitInterval is the minimum time between two segments. The actual
	// interval grows with the store's latency and with the number of VMs.
	minCommitInterval = 5 * time.Millisecond
	// typicalRecordBytes is the typical size of a billing record in bytes. It
	// converts the backlog limit in the settings, a number of records, to bytes.
	typicalRecordBytes = 640
)

// errNoHolder reports that no other VM accepted a copy of a segment.
var errNoHolder = errorx.NewNamespace("entryd").NewType("no_holder")

// billingComponents write this VM's billing records to the ledger. While the store
// is unavailable, they also hold copies of other VMs' ledger segments.
type billingComponents struct {
	writer *ledger.Writer
	holder *ledger.Holder // copies of other VMs' segments
	biller *billing.Biller
	// peerHolder sends copies of this VM's segments to other VMs.
	peerHolder *peerHolder
	settler    *ledger.Settler // only reads totals
}

// buildBilling creates the ledger writer, the holders and the biller.
func (d *Daemon) buildBilling() error {
	observer := billing.NewMetrics(d.registry)
	timeout := d.settings.Timeouts.StoreMS.Duration()
	backlogBytes := d.settings.Requests.MaxBillBacklog * typicalRecordBytes
	p := &billingComponents{peerHolder: &peerHolder{peers: d.peers, timeout: timeout}}
	p.holder = ledger.NewHolder(ledger.HolderOptions{
		Objects: d.platform.objects, Prefix: d.rows.Ledger(), CallTimeout: timeout, Clock: d.clock, Observer: observer,
	})
	var err error
	p.writer, err = ledger.NewWriter(ledger.WriterOptions{
		Objects: d.platform.objects, Prefix: d.rows.Ledger(), Incarnation: string(d.self.ID) + "." + string(d.incarnation),
		BatchPolicy:  ledger.BatchPolicy{MinInterval: minCommitInterval, WriterCount: func() int { return len(d.addressBook.All()) }},
		BacklogBytes: backlogBytes, PeerHolder: p.peerHolder, CallTimeout: timeout, Clock: d.clock,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Observer: observer,
	})
	if err != nil {
		return err
	}
	p.settler = ledger.NewSettler(ledger.SettlerOptions{
		Table: d.platform.table, Objects: d.platform.objects, Prefix: d.rows.Ledger(), Clock: d.clock,
	})
	p.biller = billing.New(p.writer, backlogBytes, d.clock)
	billing.RegisterGauges(d.registry, p.biller, p.holder)
	d.billing = p
	return nil
}

// startBilling starts the workers that commit this VM's segments and those held
// for other VMs.
func (d *Daemon) startBilling() {
	d.runner.Start("ledger", func(ctx context.Context) {
		if err := d.billing.writer.Run(ctx); err != nil {
			d.log.Error("ledger writer failed; billing records are no longer committed", "error", err)
		}
	})
	d.runner.Start("held segments", d.billing.holder.Run)
}

// stopBilling commits the uncommitted segments. If the store does not accept them
// within flushTimeout, it sends them to other VMs. It takes at most billingTimeout.
func (d *Daemon) stopBilling(ctx context.Context) {
	ctx, cancelStop := context.WithTimeout(ctx, billingTimeout)
	defer cancelStop()
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if d.billing.writer.Close(flushCtx) == nil {
		d.billing.holder.Drain(flushCtx)
	}
	failed := 0
	segments := append(d.billing.writer.Export(), d.billing.holder.Export()...)
	for _, s := range segments {
		if err := d.billing.peerHolder.Hold(ctx, s); err != nil {
			failed++
		}
	}
	switch {
	case failed > 0:
		d.log.Error("no other VM accepted some uncommitted ledger segments", "segments", failed, "of", len(segments))
	case len(segments) > 0:
		d.log.Info("uncommitted ledger segments sent to other VMs", "segments", len(segments))
	}
}

// accountTotals is the response to an operator's request for the billed totals of
// a client account.
type accountTotals struct {
	Account account.ID `json:"account"`
	ledger.Totals
}

// totals returns the settled totals of a client account. It implements
// operator.Options.Totals.
func (d *Daemon) totals(ctx context.Context, id account.ID) (any, error) {
	totals, err := d.billing.settler.Totals(ctx, string(id))
	if err != nil {
		return nil, err
	}
	return accountTotals{Account: id, Totals: totals}, nil
}

// peerHolder sends each segment to another VM, chosen at random, which holds the
// copy until the store is available again. It implements ledger.SegmentHolder.
type peerHolder struct {
	peers   *peer.Client
	timeout time.Duration
}

// Hold implements ledger.SegmentHolder. It tries up to maxHoldAttempts VMs until one
// accepts the segment.
func (h *peerHolder) Hold(ctx context.Context, s ledger.SealedSegment) error {
	peers := h.peers.Peers()
	for attempt, i := range rand.Perm(len(peers)) {
		if attempt == maxHoldAttempts || ctx.Err() != nil {
			break
		}
		if h.holdAt(ctx, vm.ID(peers[i]), s) == nil {
			return nil
		}
	}
	return errNoHolder.New("none of the %d other VMs accepted segment %q", len(peers), s.Key)
}

// holdAt sends the segment to one VM, limited by h.timeout.
func (h *peerHolder) holdAt(ctx context.Context, id vm.ID, s ledger.SealedSegment) error {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	return h.peers.Hold(ctx, id, s)
}
