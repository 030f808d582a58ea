package limit

import (
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/vm"
)

// Options set up a Limiter. Every VM must use the same ones.
type Options struct {
	Self        vm.ID
	Incarnation vm.Incarnation
	// Interval is the time between two reports.
	Interval time.Duration
	// MaxDelay bounds the time that a report may be under way; a sender must
	// give up on a report that takes longer.
	MaxDelay time.Duration
	// Silence is how long after its last report a VM is no longer in touch.
	// It should be a few intervals.
	Silence time.Duration
	// Burst is the time over which a rate may be exceeded.
	Burst time.Duration
	// Even is the part of each limit that is divided evenly as a floor under
	// every VM's demand, 0 to 1.
	Even float64
	// Refresh is how often a share is worked out at most.
	Refresh time.Duration
	// Idle is how long an unused client account is remembered.
	Idle time.Duration
	// OnRefused, if set, is told of each refusal. It is called with the
	// limiter locked and must not call back.
	OnRefused func(reason refusal.Reason)
}

const (
	defaultInterval = time.Second
	defaultMaxDelay = time.Second
	defaultSilence  = 3 * time.Second
	defaultBurst    = 5 * time.Second
	defaultEven     = 0.3
	defaultRefresh  = 100 * time.Millisecond
	defaultIdle     = 10 * time.Minute

	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Minute
	// minRequests is the least depth of a request bucket, in requests.
	minRequests = 2
	holdWeight  = 0.1
)

// DefaultOptions returns the default options of a VM.
func DefaultOptions(self vm.ID, life vm.Incarnation) Options {
	return Options{
		Self:        self,
		Incarnation: life,
		Interval:    defaultInterval,
		MaxDelay:    defaultMaxDelay,
		Silence:     defaultSilence,
		Burst:       defaultBurst,
		Even:        defaultEven,
		Refresh:     defaultRefresh,
		Idle:        defaultIdle,
	}
}

// window is longer than any value can be in use elsewhere.
func (o Options) window() time.Duration { return o.Silence + o.MaxDelay + o.Interval }

// Limiter holds client accounts to their limits. It is safe for concurrent use.
type Limiter struct {
	opts Options

	mu       sync.Mutex
	accounts map[account.ID]*state
	peers    map[vm.ID]*peer
	seq      uint64
	reported time.Time
	census   census
}

// New returns a Limiter that knows no other VM.
func New(opts Options) *Limiter {
	return &Limiter{
		opts:     opts,
		accounts: make(map[account.ID]*state),
		peers:    make(map[vm.ID]*peer),
	}
}

// Estimate is the expected size of a request.
type Estimate struct {
	// Tokens are prompt and generated tokens.
	Tokens float64
}

// state is what is kept for one client account.
type state struct {
	limits   contract.Limits
	used     time.Time
	requests bucket
	tokens   bucket
	inFlight int
	hold     time.Duration

	share   float64
	shareAt time.Time

	offered   offered
	demand    float64
	published series
	// others holds the other VMs' published demands, in the order of their ids.
	others []other
}

// offered counts what callers asked for since the last report.
type offered struct {
	requests float64
	tokens   float64
	// crowded counts requests refused for concurrency.
	crowded float64
}

// Ticket is an admitted request.
type Ticket struct {
	limiter  *Limiter
	account  account.ID
	tokens   float64
	admitted time.Time
	settled  bool
}

// Admit takes a request from the client account's share on this VM, or returns
// a *refusal.Refusal that says when to come back.
func (l *Limiter) Admit(id account.ID, limits contract.Limits, e Estimate, now time.Time) (*Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(id)
	s.used = now
	s.offered.requests++
	s.offered.tokens += e.Tokens
	l.refresh(s, limits, now)
	if reason, after := s.admits(e, now); reason != "" {
		return nil, l.refuse(reason, after)
	}
	s.charge(e)
	s.inFlight++
	return &Ticket{limiter: l, account: id, tokens: e.Tokens, admitted: now}, nil
}

func (l *Limiter) refuse(reason refusal.Reason, after time.Duration) error {
	if l.opts.OnRefused != nil {
		l.opts.OnRefused(reason)
	}
	return refusal.New(reason).After(max(after, minRetryAfter))
}

// admits returns the limit that the request would break and how long to wait,
// or no reason.
func (s *state) admits(e Estimate, now time.Time) (refusal.Reason, time.Duration) {
	if s.limits.Concurrency > 0 && s.inFlight >= s.slots() {
		s.offered.crowded++
		return refusal.LimitConcurrency, s.hold / time.Duration(s.slots())
	}
	if s.limits.RequestsPerSecond > 0 {
		if after := s.requests.lacks(1, now); after > 0 {
			return refusal.LimitRequests, after
		}
	}
	if s.limits.TokensPerSecond > 0 {
		if after := s.tokens.lacks(e.Tokens, now); after > 0 {
			return refusal.LimitTokens, after
		}
	}
	return "", 0
}

// charge takes the request from the buckets of the limits that hold.
func (s *state) charge(e Estimate) {
	if s.limits.RequestsPerSecond > 0 {
		s.requests.take(1)
	}
	if s.limits.TokensPerSecond > 0 {
		s.tokens.take(e.Tokens)
	}
}

const slotSlack = 1e-9

// slots returns this VM's part of the concurrency limit, at least one.
func (s *state) slots() int {
	return max(int(s.share*float64(s.limits.Concurrency)+slotSlack), 1)
}

func (l *Limiter) state(id account.ID) *state {
	s, ok := l.accounts[id]
	if !ok {
		s = &state{}
		l.accounts[id] = s
	}
	return s
}

// refresh works out the share anew if it is old or the limits have changed.
func (l *Limiter) refresh(s *state, limits contract.Limits, now time.Time) {
	if s.limits == limits && !s.shareAt.IsZero() && now.Sub(s.shareAt) < l.opts.Refresh {
		return
	}
	s.limits = limits
	s.share = l.shareOf(s, now)
	s.shareAt = now
	s.resize(l.opts.Burst.Seconds(), now)
}

// resize fits the buckets to the share; burst is in seconds.
func (s *state) resize(burst float64, now time.Time) {
	if perSecond := s.share * s.limits.RequestsPerSecond; perSecond > 0 {
		s.requests.set(perSecond, max(perSecond*burst, minRequests), now)
	}
	if perSecond := s.share * s.limits.TokensPerSecond; perSecond > 0 {
		s.tokens.set(perSecond, perSecond*burst, now)
	}
}

// Settle ends the request and corrects the estimate by the tokens used. Only
// the first call counts.
func (t *Ticket) Settle(tokens float64, now time.Time) {
	l := t.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.settled {
		return
	}
	t.settled = true
	s := l.state(t.account)
	s.inFlight--
	s.used = now
	if s.limits.TokensPerSecond > 0 {
		s.tokens.refill(now)
		s.tokens.give(t.tokens - tokens)
	}
	held := now.Sub(t.admitted)
	s.hold += time.Duration(holdWeight * float64(held-s.hold))
}

// Share returns this VM's share of a client account's limits, 0 to 1.
func (l *Limiter) Share(id account.ID, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(id)
	l.refresh(s, s.limits, now)
	return s.share
}
