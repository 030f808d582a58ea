// Package billing writes the entry's billing records to the ledger and exports the ledger's metrics.
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
	// KindCompletion is a completion by a model.
	KindCompletion ledger.Kind = "completion"
	// KindService is a call to a service; Entry.Model holds the service's name.
	KindService ledger.Kind = "service"
)

// storeOutageAge is the age of the oldest uncommitted record from which the store counts as
// unavailable.
const storeOutageAge = time.Second

// maxWaitDuringOutage bounds the wait for the commit of a record while the store counts as
// unavailable.
const maxWaitDuringOutage = 100 * time.Millisecond

// Biller implements entry.Biller with a ledger writer. It is safe for concurrent use.
type Biller struct {
	writer *ledger.Writer
	// refuseAtBytes is the backlog size from which new requests are refused.
	refuseAtBytes int
	clock         clockwork.Clock
}

// New returns a biller that appends to the writer, whose backlog limit is backlogBytes. The last
// tenth of the backlog is reserved for the records of requests in flight. The caller runs and closes
// the writer.
func New(writer *ledger.Writer, backlogBytes int, clock clockwork.Clock) *Biller {
	return &Biller{writer: writer, refuseAtBytes: backlogBytes - backlogBytes/10, clock: clock}
}

// CanBill implements entry.Biller. It reports whether the backlog has room for the records of new
// requests.
func (b *Biller) CanBill() bool {
	bytes, _ := b.writer.Backlog()
	return bytes < b.refuseAtBytes
}

// Backlog returns the size of the uncommitted billing records in bytes.
func (b *Biller) Backlog() int {
	bytes, _ := b.writer.Backlog()
	return bytes
}

// Bill implements entry.Biller. It waits for the commit of the record until ctx ends, but at most
// 100 ms while the store counts as unavailable, because a longer wait is unlikely to help then. A
// record that is still in the backlog after that counts as accepted: Bill returns nil for it.
//
// Errors: those of ledger.Writer.Append except ledger.ErrPending; the record was not accepted.
func (b *Biller) Bill(ctx context.Context, bill entry.Bill) error {
	if _, since := b.writer.Backlog(); !since.IsZero() && b.clock.Since(since) > storeOutageAge {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxWaitDuringOutage)
		defer cancel()
	}
	err := b.writer.Append(ctx, newLedgerEntry(bill, b.clock.Now()))
	if errorx.IsOfType(err, ledger.ErrPending) {
		return nil
	}
	return err
}

// newLedgerEntry converts a bill to a ledger entry. The entry's time is when the request ID was
// issued, so that all records of one request have the same time, as the ledger's detection of
// duplicates requires.
func newLedgerEntry(bill entry.Bill, now time.Time) ledger.Entry {
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
			Cost: ledger.Micros(a.Cost), Delivered: a.Delivered,
		})
	}
	return e
}
