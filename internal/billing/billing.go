// Package billing keeps the entry's billing records in the ledger.
package billing

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/internal/entry"
)

// Kinds of ledger entries.
const (
	KindCompletion ledger.Kind = "completion"
	KindService    ledger.Kind = "service"
)

// outageAfter is the age of the backlog from which the store counts as out.
const outageAfter = time.Second

// outageWait is the longest wait for a billing record while the store is out.
const outageWait = 100 * time.Millisecond

// Biller implements entry.Biller.
type Biller struct {
	writer *ledger.Writer
	// full is the backlog in bytes from which new requests are refused.
	full  int
	clock clockwork.Clock
}

// New returns a biller that appends to the writer, whose backlog takes
// backlogBytes. A tenth of that is kept for requests in flight.
func New(writer *ledger.Writer, backlogBytes int, clock clockwork.Clock) *Biller {
	return &Biller{writer: writer, full: backlogBytes - backlogBytes/10, clock: clock}
}

// CanBill implements entry.Biller.
func (b *Biller) CanBill() bool {
	bytes, _ := b.writer.Backlog()
	return bytes < b.full
}

// Backlog returns the bytes of billing records that wait to be written.
func (b *Biller) Backlog() int {
	bytes, _ := b.writer.Backlog()
	return bytes
}

// Bill implements entry.Biller. A record that waits in the backlog counts as
// kept. While the store is out the wait is short, as more of it gains nothing.
func (b *Biller) Bill(ctx context.Context, bill entry.Bill) error {
	if _, since := b.writer.Backlog(); !since.IsZero() && b.clock.Since(since) > outageAfter {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, outageWait)
		defer cancel()
	}
	err := b.writer.Append(ctx, record(bill, b.clock.Now()))
	if errorx.IsOfType(err, ledger.ErrPending) {
		return nil
	}
	return err
}

// record translates a bill. Its time is that at which the request's id was
// issued, so that all records of one request have the same.
func record(bill entry.Bill, now time.Time) ledger.Entry {
	e := ledger.Entry{
		RequestID: bill.RequestID, Account: string(bill.Account), Kind: KindCompletion,
		Model: string(bill.Ref.Model), Version: string(bill.Ref.Version),
		Amount: ledger.Micros(bill.Amount), Time: issuedAt(bill.RequestID, now),
	}
	if bill.Service != "" {
		e.Kind = KindService
		e.Model = bill.Service
	}
	for _, a := range bill.Attempts {
		e.Attempts = append(e.Attempts, ledger.Attempt{
			Upstream: string(a.Upstream), Model: string(a.Ref.Model), Version: string(a.Ref.Version),
			Cost: ledger.Micros(a.Cost), Answer: a.Delivered,
		})
	}
	return e
}
