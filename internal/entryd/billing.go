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
	// flushTime is the part of a planned stop in which the store may still take
	// the backlog, before it is handed to other VMs.
	flushTime = 3 * time.Second
	// mostHolders bounds the VMs that are asked to hold a segment.
	mostHolders = 3
	// leastCommitInterval is the least time between two segments; the store's
	// latency and the number of VMs lengthen it.
	leastCommitInterval = 5 * time.Millisecond
	// recordBytes is the usual size of a billing record.
	recordBytes = 640
)

var errNoHolder = errorx.NewNamespace("entryd").NewType("no_holder")

// billingParts keep this VM's billing records, and other VMs' while the store is out.
type billingParts struct {
	writer    *ledger.Writer
	holder    *ledger.Holder
	biller    *billing.Biller
	custodian *custodian
	totals    *ledger.Settler
}

func (d *Daemon) buildBilling() error {
	observer := billing.NewMetrics(d.registry)
	timeout := d.settings.Timeouts.StoreMS.Duration()
	bytes := d.settings.Requests.MaxBillBacklog * recordBytes
	p := &billingParts{custodian: &custodian{peers: d.peers, timeout: timeout}}
	p.holder = ledger.NewHolder(ledger.HolderOptions{
		Objects: d.platform.objects, Prefix: d.rows.Ledger(), CallTimeout: timeout, Clock: d.clock, Observer: observer,
	})
	var err error
	p.writer, err = ledger.NewWriter(ledger.WriterOptions{
		Objects: d.platform.objects, Prefix: d.rows.Ledger(), Incarnation: string(d.self.ID) + "." + string(d.life),
		BatchPolicy:  ledger.BatchPolicy{MinInterval: leastCommitInterval, WriterCount: func() int { return len(d.book.All()) }},
		BacklogBytes: bytes, PeerHolder: p.custodian, CallTimeout: timeout, Clock: d.clock,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Observer: observer,
	})
	if err != nil {
		return err
	}
	p.totals = ledger.NewSettler(ledger.SettlerOptions{
		Table: d.platform.table, Objects: d.platform.objects, Prefix: d.rows.Ledger(), Clock: d.clock,
	})
	p.biller = billing.New(p.writer, bytes, d.clock)
	billing.RegisterGauges(d.registry, p.biller, p.holder)
	d.billing = p
	return nil
}

func (d *Daemon) startBilling() {
	d.runner.Start("ledger", func(ctx context.Context) {
		if err := d.billing.writer.Run(ctx); err != nil {
			d.log.Error("billing has stopped", "error", err)
		}
	})
	d.runner.Start("held segments", d.billing.holder.Run)
}

// stopBilling commits what waits, or hands it to other VMs.
func (d *Daemon) stopBilling(ctx context.Context) {
	flush, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	if d.billing.writer.Close(flush) == nil {
		d.billing.holder.Drain(flush)
	}
	lost := 0
	segments := append(d.billing.writer.Export(), d.billing.holder.Export()...)
	for _, s := range segments {
		if err := d.billing.custodian.Hold(ctx, s); err != nil {
			lost++
		}
	}
	switch {
	case lost > 0:
		d.log.Error("billing records could not be handed over", "segments", lost, "of", len(segments))
	case len(segments) > 0:
		d.log.Info("billing records handed over", "segments", len(segments))
	}
}

// accountTotals is what a client account was billed, as operators are shown it.
type accountTotals struct {
	Account account.ID `json:"account"`
	ledger.Totals
}

// totals returns the ledger's totals of a client account.
func (d *Daemon) totals(ctx context.Context, id account.ID) (any, error) {
	sum, err := d.billing.totals.Totals(ctx, string(id))
	if err != nil {
		return nil, err
	}
	return accountTotals{Account: id, Totals: sum}, nil
}

// custodian copies segments to other VMs, chosen at random.
type custodian struct {
	peers   *peer.Client
	timeout time.Duration
}

// Hold implements ledger.SegmentHolder.
func (c *custodian) Hold(ctx context.Context, s ledger.SealedSegment) error {
	others := c.peers.Peers()
	for n, i := range rand.Perm(len(others)) {
		if n == mostHolders || ctx.Err() != nil {
			break
		}
		if c.ask(ctx, vm.ID(others[i]), s) == nil {
			return nil
		}
	}
	return errNoHolder.New("none of %d VMs took segment %q", len(others), s.Key)
}

func (c *custodian) ask(ctx context.Context, id vm.ID, s ledger.SealedSegment) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.peers.Hold(ctx, id, s)
}
