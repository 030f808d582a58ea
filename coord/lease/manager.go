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

// Manager acquires leases for one holder. It is safe for concurrent use.
type Manager struct {
	table  store.Table
	holder string
	opts   Options

	mu       sync.Mutex
	seen     map[string]sighting // the row version watched for each job
	unsought map[string]string   // write ids of attempts reported as failed
}

// sighting is a row version and when this manager first saw it.
type sighting struct {
	version store.Version
	since   time.Time
}

// New returns a manager for the holder, a name shown to operators.
// Errors: ErrOptions.
func New(table store.Table, holder string, opts Options) (*Manager, error) {
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	if holder == "" {
		return nil, ErrOptions.New("a holder needs a name")
	}
	return &Manager{
		table:    table,
		holder:   holder,
		opts:     opts,
		seen:     make(map[string]sighting),
		unsought: make(map[string]string),
	}, nil
}

// Acquire makes one attempt to become the holder of the job. A job held by a
// silent holder is granted once this manager has seen its row unchanged for
// the holder's whole TTL, so attempts have to be repeated.
// Errors: ErrHeld, ErrUnavailable, ErrRow.
func (m *Manager) Acquire(ctx context.Context, job string) (*Lease, error) {
	ctx, cancel := deadline.WithTimeout(ctx, m.opts.Clock, m.opts.StoreTimeout)
	defer cancel()
	l, event, err := m.attempt(ctx, job)
	m.opts.Observer.LeaseEvent(job, event)
	return l, err
}

func (m *Manager) attempt(ctx context.Context, job string) (*Lease, Event, error) {
	stored, err := m.table.Get(ctx, m.key(job))
	if errorx.IsOfType(err, store.ErrNotFound) {
		return m.take(ctx, job, store.Row{}, row{}, EventAcquired)
	}
	if err != nil {
		return nil, EventUnavailable, ErrUnavailable.Wrap(err, "job %q", job)
	}
	current, err := decode(stored)
	if err != nil {
		return nil, EventUnavailable, err
	}
	if current.free() {
		return m.take(ctx, job, stored, current, EventAcquired)
	}
	if left := m.watch(job, stored.Version, current); left > 0 {
		return nil, EventRefused, ErrHeld.New("job %q is held by %q, silent for at least %v more", job, current.Holder, left)
	}
	return m.take(ctx, job, stored, current, EventTakenOver)
}

// watch returns how much longer the row has to stay unchanged before a takeover.
func (m *Manager) watch(job string, version store.Version, current row) time.Duration {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if id := m.unsought[job]; id != "" && id == current.WriteID {
		return 0
	}
	s := m.seen[job]
	if s.version != version {
		s = sighting{version: version, since: now}
		m.seen[job] = s
	}
	return max(current.ttl(), m.opts.TTL) - now.Sub(s.since)
}

// take writes this manager as the holder over the row that was read.
func (m *Manager) take(ctx context.Context, job string, prev store.Row, old row, won Event) (*Lease, Event, error) {
	next := m.nextRow(old.Fence + 1)
	start := m.opts.Clock.Now()
	written, err := m.write(ctx, job, next, prev)
	m.note(job, next.WriteID, err)
	switch {
	case err == nil:
		return newLease(m, job, next.Fence, written.Version, start), won, nil
	case errorx.IsOfType(err, store.ErrConflict) || errorx.IsOfType(err, store.ErrExists):
		return nil, EventRefused, ErrHeld.Wrap(err, "job %q was taken at the same moment", job)
	default:
		return nil, EventUnavailable, ErrUnavailable.Wrap(err, "job %q", job)
	}
}

// note remembers the write id of an attempt that failed here but may still
// take effect: no lease stands for it, so its row needs no waiting.
func (m *Manager) note(job, writeID string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unsought, job)
	if err == nil {
		delete(m.seen, job)
	}
	if errorx.IsOfType(err, store.ErrUnknown) {
		m.unsought[job] = writeID
	}
}

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
