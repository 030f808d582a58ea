package limit

import (
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/vm"
)

// Options configures a Limiter. All VMs must use the same durations and fractions.
type Options struct {
	// Self identifies this VM, Incarnation its current run.
	Self        vm.ID
	Incarnation vm.Incarnation
	// Interval is the time between two reports.
	Interval time.Duration
	// MaxDelay is the maximum delivery time of a report; a sender must abandon a
	// report that takes longer.
	MaxDelay time.Duration
	// PeerTimeout is the time after its last report at which a VM is considered
	// unreachable. It should be a few intervals.
	PeerTimeout time.Duration
	// Burst sizes the token buckets: each holds the tokens of this time at the
	// sustained rate.
	Burst time.Duration
	// DemandFloor is the fraction of each limit, 0 to 1, that is divided evenly
	// among the VMs to give the minimum demand counted for each.
	DemandFloor float64
	// RefreshInterval is the minimum time between two computations of a share.
	RefreshInterval time.Duration
	// IdleTimeout is the time after which the state of an unused client account
	// is evicted.
	IdleTimeout time.Duration
	// OnRefused, if set, is called for each refused request while the limiter is
	// locked. It must not call the limiter.
	OnRefused func(reason refusal.Reason)
}

// Defaults of Options; defaultDemandFloor is a fraction of the limit.
const (
	defaultInterval        = time.Second
	defaultMaxDelay        = time.Second
	defaultPeerTimeout     = 3 * time.Second
	defaultBurst           = 5 * time.Second
	defaultDemandFloor     = 0.3
	defaultRefreshInterval = 100 * time.Millisecond
	defaultIdleTimeout     = 10 * time.Minute

	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Minute
	// minRequestBurst is the minimum capacity of a request bucket, in requests.
	minRequestBurst = 2
	// serviceTimeWeight is the weight of a new sample in the exponentially weighted
	// moving averages of the service time.
	serviceTimeWeight = 0.1
)

// DefaultOptions returns the default options for the VM self in its current
// incarnation.
func DefaultOptions(self vm.ID, incarnation vm.Incarnation) Options {
	return Options{
		Self:            self,
		Incarnation:     incarnation,
		Interval:        defaultInterval,
		MaxDelay:        defaultMaxDelay,
		PeerTimeout:     defaultPeerTimeout,
		Burst:           defaultBurst,
		DemandFloor:     defaultDemandFloor,
		RefreshInterval: defaultRefreshInterval,
		IdleTimeout:     defaultIdleTimeout,
	}
}

// window is longer than another VM can use a demand that this one has reported. It is the
// sum of the interval to the next report, its maximum delivery time, and the timeout after
// which the other VM considers this one unreachable.
func (o Options) window() time.Duration { return o.PeerTimeout + o.MaxDelay + o.Interval }

// Limiter enforces the limits of client accounts on this VM. It is safe for
// concurrent use.
type Limiter struct {
	opts Options

	mu         sync.Mutex
	accounts   map[account.ID]*accountState
	peers      map[vm.ID]*peer
	seq        uint64
	reportedAt time.Time
	peerCounts peerCounts
}

// New returns a Limiter without other members; SetMembers adds them.
func New(opts Options) *Limiter {
	return &Limiter{
		opts:     opts,
		accounts: make(map[account.ID]*accountState),
		peers:    make(map[vm.ID]*peer),
	}
}

// Estimate is the expected size of a request.
type Estimate struct {
	// Tokens is the number of prompt and generated tokens.
	Tokens float64
}

// accountState is the state of one client account on this VM.
type accountState struct {
	limits   contract.Limits
	lastUsed time.Time
	requests bucket
	tokens   bucket
	inFlight int
	// serviceTime is a moving average of the time from admission to settlement.
	serviceTime time.Duration

	// share is this VM's share of the limits, 0 to 1, as of shareUpdatedAt.
	share          float64
	shareUpdatedAt time.Time

	offered offeredLoad
	// demand is a moving average of the offered load as a fraction of the limits.
	demand float64
	// published is the history of the demands in this VM's reports.
	published demandHistory
	// peerDemands holds the reported non-zero demands of other VMs, sorted by VM.
	peerDemands []peerDemand
}

// offeredLoad counts the requests and tokens offered since the last report,
// admitted or not.
type offeredLoad struct {
	requests float64
	tokens   float64
	// overConcurrency counts requests refused by the concurrency limit.
	overConcurrency float64
}

// Ticket represents an admitted request. It must be settled when the request ends.
type Ticket struct {
	limiter    *Limiter
	account    account.ID
	tokens     float64
	admittedAt time.Time
	settled    bool
}

// Admit charges a request to this VM's share of the client account's limits. If a
// limit is exceeded it returns a *refusal.Refusal with a retry delay.
func (l *Limiter) Admit(id account.ID, limits contract.Limits, estimate Estimate, now time.Time) (*Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stateOf(id)
	s.lastUsed = now
	s.offered.requests++
	s.offered.tokens += estimate.Tokens
	l.refreshShare(s, limits, now)
	if reason, retryAfter := s.check(estimate, now); reason != "" {
		return nil, l.refuse(reason, retryAfter)
	}
	s.charge(estimate)
	s.inFlight++
	return &Ticket{limiter: l, account: id, tokens: estimate.Tokens, admittedAt: now}, nil
}

func (l *Limiter) refuse(reason refusal.Reason, retryAfter time.Duration) error {
	if l.opts.OnRefused != nil {
		l.opts.OnRefused(reason)
	}
	return refusal.New(reason).WithRetryAfter(max(retryAfter, minRetryAfter))
}

// check returns the reason of the limit that the request would exceed and the time
// to wait, or an empty reason if the request is within all limits.
func (s *accountState) check(estimate Estimate, now time.Time) (refusal.Reason, time.Duration) {
	if s.limits.Concurrency > 0 && s.inFlight >= s.concurrencySlots() {
		s.offered.overConcurrency++
		return refusal.LimitConcurrency, s.serviceTime / time.Duration(s.concurrencySlots())
	}
	if s.limits.RequestsPerSecond > 0 {
		if wait := s.requests.waitFor(1, now); wait > 0 {
			return refusal.LimitRequests, wait
		}
	}
	if s.limits.TokensPerSecond > 0 {
		if wait := s.tokens.waitFor(estimate.Tokens, now); wait > 0 {
			return refusal.LimitTokens, wait
		}
	}
	return "", 0
}

// charge deducts the request from the buckets of the limits that are set.
func (s *accountState) charge(estimate Estimate) {
	if s.limits.RequestsPerSecond > 0 {
		s.requests.deduct(1)
	}
	if s.limits.TokensPerSecond > 0 {
		s.tokens.deduct(estimate.Tokens)
	}
}

// slotTolerance is added, in requests, before rounding down, so that a floating-point
// error in the share does not cost a slot.
const slotTolerance = 1e-9

// concurrencySlots returns this VM's part of the concurrency limit in requests, at
// least one.
func (s *accountState) concurrencySlots() int {
	return max(int(s.share*float64(s.limits.Concurrency)+slotTolerance), 1)
}

func (l *Limiter) stateOf(id account.ID) *accountState {
	s, ok := l.accounts[id]
	if !ok {
		s = &accountState{}
		l.accounts[id] = s
	}
	return s
}

// refreshShare recomputes the share if it is older than RefreshInterval or the
// limits have changed.
func (l *Limiter) refreshShare(s *accountState, limits contract.Limits, now time.Time) {
	if s.limits == limits && !s.shareUpdatedAt.IsZero() && now.Sub(s.shareUpdatedAt) < l.opts.RefreshInterval {
		return
	}
	s.limits = limits
	s.share = l.shareOf(s, now)
	s.shareUpdatedAt = now
	s.resizeBuckets(l.opts.Burst.Seconds(), now)
}

// resizeBuckets sets rates and capacities of the buckets to the share of the limits.
func (s *accountState) resizeBuckets(burstSeconds float64, now time.Time) {
	if perSecond := s.share * s.limits.RequestsPerSecond; perSecond > 0 {
		s.requests.setRate(perSecond, max(perSecond*burstSeconds, minRequestBurst), now)
	}
	if perSecond := s.share * s.limits.TokensPerSecond; perSecond > 0 {
		s.tokens.setRate(perSecond, perSecond*burstSeconds, now)
	}
}

// Settle ends the request and replaces the estimated tokens by those actually used.
// Only the first call has an effect.
func (t *Ticket) Settle(tokens float64, now time.Time) {
	l := t.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.settled {
		return
	}
	t.settled = true
	s := l.stateOf(t.account)
	s.inFlight--
	s.lastUsed = now
	if s.limits.TokensPerSecond > 0 {
		s.tokens.refill(now)
		s.tokens.credit(t.tokens - tokens)
	}
	latency := now.Sub(t.admittedAt)
	s.serviceTime += time.Duration(serviceTimeWeight * float64(latency-s.serviceTime))
}

// Share returns this VM's current share of a client account's limits, 0 to 1.
func (l *Limiter) Share(id account.ID, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stateOf(id)
	l.refreshShare(s, s.limits, now)
	return s.share
}
