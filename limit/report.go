package limit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/vm"
)

// Report tells the other VMs what client accounts ask of this one. Accounts
// that are left out ask nothing.
type Report struct {
	VM          vm.ID          `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
	// Seq grows with each report of an incarnation.
	Seq      uint64  `json:"seq"`
	Accounts []Usage `json:"accounts,omitempty"`
}

// Usage is the demand of one client account.
type Usage struct {
	Account account.ID `json:"account"`
	// Demand is the largest of the offered rates in parts of their limits,
	// at most 1.
	Demand float64 `json:"demand"`
}

// peer is what is known about another VM.
type peer struct {
	incarnation vm.Incarnation
	// past is the incarnation before, whose late reports are dropped.
	past vm.Incarnation
	seq  uint64
	// heard is when its last report came; since is the beginning of the time
	// in which no gap was longer than the silence.
	heard time.Time
	since time.Time
	// touch is as the last census found it.
	touch touch
}

const (
	demandWeight = 0.15
	minDemand    = 1e-4
)

// Report returns the demand since the last report. It should be called once an
// interval and the result be sent to every other VM.
func (l *Limiter) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	elapsed := now.Sub(l.reported)
	if l.reported.IsZero() || elapsed <= 0 {
		elapsed = l.opts.Interval
	}
	l.reported = now
	r := Report{VM: l.opts.Self, Incarnation: l.opts.Incarnation, Seq: l.seq}
	for id, s := range l.accounts {
		d := s.measure(elapsed)
		s.published.add(now, d, l.opts.window())
		if d > 0 {
			r.Accounts = append(r.Accounts, Usage{Account: id, Demand: d})
		}
		l.forget(id, s, now)
	}
	slices.SortFunc(r.Accounts, func(a, b Usage) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	return r
}

// measure returns the demand over the elapsed time and begins a new count.
func (s *state) measure(elapsed time.Duration) float64 {
	d := s.offered.demand(s.limits, s.inFlight, elapsed.Seconds())
	s.offered = offered{}
	s.demand += demandWeight * (d - s.demand)
	if s.demand < minDemand {
		s.demand = 0
	}
	return min(s.demand, 1)
}

// demand returns the largest of the demands in parts of their limits.
func (o offered) demand(limits contract.Limits, inFlight int, seconds float64) float64 {
	d := 0.0
	if limits.RequestsPerSecond > 0 {
		d = max(d, o.requests/seconds/limits.RequestsPerSecond)
	}
	if limits.TokensPerSecond > 0 {
		d = max(d, o.tokens/seconds/limits.TokensPerSecond)
	}
	if limits.Concurrency > 0 {
		d = max(d, (float64(inFlight)+o.crowded)/float64(limits.Concurrency))
	}
	return d
}

// forget drops a client account that nobody uses.
func (l *Limiter) forget(id account.ID, s *state, now time.Time) {
	if s.inFlight == 0 && s.demand == 0 && len(s.others) == 0 && now.Sub(s.used) > l.opts.Idle {
		delete(l.accounts, id)
	}
}

// Observe takes in another VM's report. Reports of VMs that are not members,
// of an earlier incarnation and out of order are dropped; then it returns false.
func (l *Limiter) Observe(r Report, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[r.VM]
	if !ok || !p.accepts(r) {
		return false
	}
	if now.Sub(p.heard) > l.opts.Silence {
		p.since = now
	}
	p.heard, p.seq = now, r.Seq
	l.store(r)
	return true
}

// accepts tells whether a report is newer than the last, and notes a new
// incarnation.
func (p *peer) accepts(r Report) bool {
	if r.Incarnation == p.incarnation {
		return r.Seq > p.seq
	}
	if r.Incarnation == p.past {
		return false
	}
	p.past, p.incarnation = p.incarnation, r.Incarnation
	return true
}

// store adds a report's demands; what it leaves out is zero.
func (l *Limiter) store(r Report) {
	told := make(map[account.ID]bool, len(r.Accounts))
	for _, u := range r.Accounts {
		told[u.Account] = true
		l.state(u.Account).hear(r.VM, u.Demand)
	}
	for id, s := range l.accounts {
		if !told[id] {
			s.hear(r.VM, 0)
		}
	}
}

// other is another VM's demand for one client account.
type other struct {
	id     vm.ID
	demand float64
}

func (s *state) find(id vm.ID) (int, bool) {
	return slices.BinarySearchFunc(s.others, id, func(o other, id vm.ID) int {
		return strings.Compare(string(o.id), string(id))
	})
}

// hear installs another VM's demand; zero drops it.
func (s *state) hear(id vm.ID, demand float64) {
	i, ok := s.find(id)
	switch {
	case ok && demand <= 0:
		s.others = slices.Delete(s.others, i, i+1)
	case ok:
		s.others[i].demand = min(demand, 1)
	case demand > 0:
		s.others = slices.Insert(s.others, i, other{id: id, demand: min(demand, 1)})
	}
}

// SetMembers installs the list of live VMs. This VM counts as one whether it is
// listed or not.
func (l *Limiter) SetMembers(ids []vm.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[vm.ID]*peer, len(ids))
	for _, id := range ids {
		if id == l.opts.Self {
			continue
		}
		p, ok := l.peers[id]
		if !ok {
			p = &peer{}
		}
		next[id] = p
	}
	l.peers = next
	l.census = census{}
	for _, s := range l.accounts {
		s.others = slices.DeleteFunc(s.others, func(o other) bool { return next[o.id] == nil })
	}
}

// touch tells whether a VM is heard.
type touch uint8

const (
	silent touch = iota
	// changing: it fell silent or came back within the window, so that this
	// VM and the others may see it differently.
	changing
	inTouch
)

// touchOf tells whether a VM is heard. A VM that does not report itself is in touch
// with nobody.
func (l *Limiter) touchOf(p *peer, now time.Time) touch {
	window := l.opts.window()
	if now.Sub(l.reported) > l.opts.Silence {
		return silent
	}
	quiet := now.Sub(p.heard) - l.opts.Silence
	switch {
	case p.heard.IsZero() || quiet > window:
		return silent
	case quiet > 0 || now.Sub(p.since) < window:
		return changing
	}
	return inTouch
}

// census counts the other VMs by touch.
type census struct {
	at    time.Time
	count [inTouch + 1]int
}

// takeCensus counts the other VMs, at most once each Refresh.
func (l *Limiter) takeCensus(now time.Time) *census {
	c := &l.census
	if !c.at.IsZero() && now.Sub(c.at) < l.opts.Refresh {
		return c
	}
	*c = census{at: now}
	for _, p := range l.peers {
		p.touch = l.touchOf(p, now)
		c.count[p.touch]++
	}
	return c
}

// shareOf returns this VM's share of a client account's limits: the smallest
// over all ways to count the changing VMs as silent or as in touch. Those with
// the highest demand lower it most, so it is enough to add them in that order.
func (l *Limiter) shareOf(s *state, now time.Time) float64 {
	c := l.takeCensus(now)
	at, changed := l.standing(s, c, now)
	share := at.share()
	for _, demand := range changed {
		at.silent--
		at.others += demand
		share = min(share, at.share())
	}
	rest := c.count[changing] - len(changed)
	at.silent -= rest
	at.others += float64(rest) * at.floor
	return min(share, at.share())
}

// standing returns what this VM knows about a client account's demand with the
// changing VMs silent, and the told demands of those, the highest first. Its own
// demand counts at the lowest that any other VM may still know.
func (l *Limiter) standing(s *state, c *census, now time.Time) (standing, []float64) {
	at := standing{members: len(l.peers) + 1, silent: c.count[silent] + c.count[changing]}
	at.floor = l.opts.Even / float64(at.members)
	at.own = max(s.published.lowest(now, l.opts.window()), at.floor)
	at.others = float64(c.count[inTouch]) * at.floor
	var changed []float64
	for _, o := range s.others {
		switch l.peers[o.id].touch {
		case inTouch:
			at.others += max(o.demand-at.floor, 0)
		case changing:
			changed = append(changed, max(o.demand, at.floor))
		}
	}
	slices.SortFunc(changed, func(a, b float64) int { return cmp.Compare(b, a) })
	return at, changed
}
