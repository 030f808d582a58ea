package membudget

import (
	"maps"
	"sync"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("membudget")

// Errors of a Reservation.
var (
	// ErrExhausted reports that there was no room for more bytes.
	ErrExhausted = namespace.NewType("exhausted")
	// ErrHolderShare is an ErrExhausted: the first holder of the reservation keeps much of the budget, and no less than
	// others of its kind.
	ErrHolderShare = ErrExhausted.NewSubtype("holder_share")
	// ErrTooLarge reports that a Buffer would exceed its largest size.
	ErrTooLarge = namespace.NewType("too_large")
)

// Kind is the kind of a holder.
type Kind string

// Kinds of holders.
const (
	Upstream Kind = "upstream"
	Service  Kind = "service"
	Account  Kind = "account"
	Callers  Kind = "callers"
	VM       Kind = "vm"
)

// freeFactors are how many times the free part of the budget all reservations of a holder may keep. A single
// holder with factor f can keep f/(1+f) of the budget.
var freeFactors = map[Kind]float64{Upstream: 0.5, Account: 0.5, VM: 0.5, Callers: 1, Service: 2}

// Holder is on whose behalf bytes are kept.
type Holder struct {
	Kind Kind
	ID   string
}

// Budget bounds the bytes that are kept on a VM. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu       sync.Mutex
	used     int64
	byHolder map[Holder]int64
	refused  map[Kind]int64
	// unused are arrays for further buffers. They have no more bytes than are free.
	unused arrays
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, byHolder: make(map[Holder]int64), refused: make(map[Kind]int64)}
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Usage is what is kept on a VM.
type Usage struct {
	// Bytes are kept for all holders together.
	Bytes int64
	// Unused are those of arrays that wait for further buffers. Together with Bytes they are no more than the limit.
	Unused int64
	// Refused counts how often there was no room, by the kind of the holder that had used up its share.
	Refused map[Kind]int64
}

// Usage returns what is kept now.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Bytes: b.used, Unused: b.unused.bytes, Refused: maps.Clone(b.refused)}
}

// Reserve returns a reservation without bytes. The first holder is the one that sends what is kept. Release must be called.
func (b *Budget) Reserve(holders ...Holder) *Reservation {
	return &Reservation{budget: b, holders: holders}
}

// grow reserves n bytes more for all holders, or none. Errors: ErrExhausted, ErrHolderShare.
func (b *Budget) grow(holders []Holder, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= 0 {
		b.add(holders, n)
		return nil
	}
	free := b.limit - b.used
	for i, h := range holders {
		if n <= free && float64(b.byHolder[h]+n) <= freeFactors[h.Kind]*float64(free) {
			continue
		}
		b.refused[h.Kind]++
		err := ErrExhausted
		if i == 0 && b.keepsMuch(h) {
			err = ErrHolderShare
		}
		return err.New("%s %q keeps %d bytes of %d, of which %d are free; no room for %d more", h.Kind, h.ID, b.byHolder[h], b.limit, free, n)
	}
	b.add(holders, n)
	return nil
}

// minMuchFraction is the least fraction of the budget that a holder keeps if it is the cause that there is no room.
const minMuchFraction = 1.0 / 16

// keepsMuch reports whether a holder keeps much of the budget, and no less than the holders of its kind do on average. The
// caller holds mu.
func (b *Budget) keepsMuch(h Holder) bool {
	var sum, holders int64
	for other, n := range b.byHolder {
		if other.Kind == h.Kind {
			sum, holders = sum+n, holders+1
		}
	}
	kept := b.byHolder[h]
	return float64(kept) >= minMuchFraction*float64(b.limit) && kept*holders >= sum
}

// add changes the bytes kept. The caller holds mu.
func (b *Budget) add(holders []Holder, n int64) {
	b.used += n
	for _, h := range holders {
		if b.byHolder[h] += n; b.byHolder[h] == 0 {
			delete(b.byHolder, h)
		}
	}
}

// Reservation is the part of a budget that one response or body keeps. It is used by one goroutine at a time.
type Reservation struct {
	budget  *Budget
	holders []Holder
	bytes   int64
}

// Grow reserves n bytes more. Errors: ErrExhausted, ErrHolderShare; nothing is reserved then.
func (r *Reservation) Grow(n int) error {
	if err := r.reserve(n); err != nil {
		return err
	}
	r.budget.trimUnused()
	return nil
}

// reserve does as Grow, but drops no unused array, one of which the caller may take. Errors: those of Grow.
func (r *Reservation) reserve(n int) error {
	if err := r.budget.grow(r.holders, int64(n)); err != nil {
		return err
	}
	r.bytes += int64(n)
	return nil
}

// Transfer makes the bytes those of other holders, whatever their shares are.
func (r *Reservation) Transfer(holders ...Holder) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.add(r.holders, -r.bytes)
	r.holders = holders
	r.budget.add(r.holders, r.bytes)
}

// Shrink returns n bytes.
func (r *Reservation) Shrink(n int) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.add(r.holders, -int64(n))
	r.bytes -= int64(n)
}

// Release returns all bytes. It may be called more than once.
func (r *Reservation) Release() {
	if r.bytes > 0 {
		r.Shrink(int(r.bytes))
	}
}
