package lease

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/coord/store/deadline"
	"github.com/poplarshore/poplarshore/coord/store/settle"
)

// Manager acquires leases on behalf of one holder. Create it with New. It is safe
// for concurrent use.
//
// A Manager must be kept between attempts: it remembers how long it has observed
// the row of each job unchanged, which is what permits a takeover.
type Manager struct {
	table  store.Table
	holder string
	opts   Options

	mu                sync.Mutex
	observed          map[string]observation // last observed row version, by job
	abandonedWriteIDs map[string]string      // IDs of writes of unknown outcome, by job
}

// observation is a row version and the time when this manager first read it.
type observation struct {
	version   store.Version
	firstSeen time.Time
}

// New returns a Manager that stores its leases in table. The holder is a non-empty
// name, stored in the row for operators. It has no part in mutual exclusion, so a
// restarted process with the same name has to wait for its earlier lease like any
// other contender. Errors: ErrOptions.
func New(table store.Table, holder string, opts Options) (*Manager, error) {
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	if holder == "" {
		return nil, ErrOptions.New("holder name must not be empty")
	}
	return &Manager{
		table:             table,
		holder:            holder,
		opts:              opts,
		observed:          make(map[string]observation),
		abandonedWriteIDs: make(map[string]string),
	}, nil
}

// Acquire makes one attempt to become the holder of job and returns the lease. It
// doesn't wait for a held job.
//
// A job without a row or with a released one is granted at once. A job whose holder
// has stopped renewing is granted when this Manager has observed its row unchanged
// for the longer of the holder's TTL and its own. The first attempt starts that
// period, so callers have to repeat Acquire, for instance every
// Options.RenewInterval.
//
// Options.StoreTimeout limits its store operations. The caller must renew the lease
// before it expires and should release it. Leases aren't reentrant: Acquire of a
// job that this Manager holds returns ErrHeld.
//
// Errors: ErrHeld, ErrUnavailable (no lease was granted; if the write takes effect
// later, the next Acquire of this Manager doesn't wait for it, but other holders
// do), ErrMalformedRow.
func (m *Manager) Acquire(ctx context.Context, job string) (*Lease, error) {
	ctx, cancel := deadline.WithTimeout(ctx, m.opts.Clock, m.opts.StoreTimeout)
	defer cancel()
	l, event, err := m.tryAcquire(ctx, job)
	m.opts.Observer.LeaseEvent(job, event)
	return l, err
}

func (m *Manager) tryAcquire(ctx context.Context, job string) (*Lease, Event, error) {
	stored, err := m.table.Get(ctx, m.key(job))
	if errorx.IsOfType(err, store.ErrNotFound) {
		return m.writeHolder(ctx, job, store.Row{}, row{}, EventAcquired)
	}
	if err != nil {
		return nil, EventUnavailable, ErrUnavailable.Wrap(err, "read row of job %q", job)
	}
	current, err := decode(stored)
	if err != nil {
		return nil, EventUnavailable, err
	}
	if current.isReleased() {
		return m.writeHolder(ctx, job, stored, current, EventAcquired)
	}
	if wait := m.remainingWait(job, stored.Version, current); wait > 0 {
		return nil, EventRefused, ErrHeld.New("job %q is held by %q; takeover possible in %v at the earliest",
			job, current.Holder, wait)
	}
	return m.writeHolder(ctx, job, stored, current, EventTakenOver)
}

// remainingWait returns how much longer the row has to stay unchanged before this
// manager may take over the job. A row written by an abandoned attempt of this
// manager needs no wait.
func (m *Manager) remainingWait(job string, version store.Version, current row) time.Duration {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if id := m.abandonedWriteIDs[job]; id != "" && id == current.WriteID {
		return 0
	}
	o := m.observed[job]
	if o.version != version {
		o = observation{version: version, firstSeen: now}
		m.observed[job] = o
	}
	return max(current.ttl(), m.opts.TTL) - now.Sub(o.firstSeen)
}

// writeHolder replaces the stored row by one that names this manager as the holder
// with the next fencing token. On success it returns the event granted.
func (m *Manager) writeHolder(ctx context.Context, job string, stored store.Row, current row,
	granted Event) (*Lease, Event, error) {
	next := m.nextRow(current.Fence + 1)
	sentAt := m.opts.Clock.Now()
	written, err := m.write(ctx, job, next, stored)
	m.recordAttempt(job, next.WriteID, err)
	switch {
	case err == nil:
		return newLease(m, job, next.Fence, written.Version, sentAt), granted, nil
	case errorx.IsOfType(err, store.ErrConflict) || errorx.IsOfType(err, store.ErrExists):
		return nil, EventRefused, ErrHeld.Wrap(err, "job %q was acquired concurrently by another holder", job)
	default:
		return nil, EventUnavailable, ErrUnavailable.Wrap(err, "write row of job %q", job)
	}
}

// recordAttempt stores the write ID of an attempt whose outcome is unknown. The
// attempt was reported as failed but may still take effect. No lease was granted for
// it, so this manager may replace its row without waiting for the TTL.
func (m *Manager) recordAttempt(job, writeID string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.abandonedWriteIDs, job)
	if err == nil {
		delete(m.observed, job)
	}
	if errorx.IsOfType(err, store.ErrUnknown) {
		m.abandonedWriteIDs[job] = writeID
	}
}

// write inserts the row of the job if prev has no version, and otherwise replaces
// prev.
func (m *Manager) write(ctx context.Context, job string, next row, prev store.Row) (store.Row, error) {
	value, err := next.encode()
	if err != nil {
		return store.Row{}, err
	}
	w := m.writer(job)
	if prev.Version == "" {
		return w.Insert(ctx, m.key(job), value)
	}
	return w.Update(ctx, m.key(job), value, prev.Version)
}

func (m *Manager) writer(job string) settle.Writer {
	return settle.Writer{Table: m.table, OnSettle: func(outcome settle.Outcome) {
		m.opts.Observer.LeaseEvent(job, Event(outcome))
	}}
}

// nextRow returns a row that names this manager as the holder, with a new write ID.
func (m *Manager) nextRow(fence uint64) row {
	return row{
		Holder:  m.holder,
		Fence:   fence,
		TTLms:   m.opts.TTL.Milliseconds(),
		WriteID: m.opts.NewID(),
	}
}

func (m *Manager) key(job string) string {
	return m.opts.Prefix + job
}
