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

// Report contains the demand of the client accounts on one VM. The demand of
// accounts that are not listed is zero.
type Report struct {
	VM          vm.ID          `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
	// Seq increases with each report of an incarnation.
	Seq      uint64          `json:"seq"`
	Accounts []AccountDemand `json:"accounts,omitempty"`
}

// AccountDemand is the demand of one client account on one VM.
type AccountDemand struct {
	Account account.ID `json:"account"`
	// Demand is the highest of the offered loads as fractions of their limits, at
	// most 1.
	Demand float64 `json:"demand"`
}

// peer is the state of another VM as this one sees it.
type peer struct {
	incarnation vm.Incarnation
	// previousIncarnation is the one before, whose late reports are dropped.
	previousIncarnation vm.Incarnation
	seq                 uint64
	// reportedAt is the arrival time of the last report, reachableSince the start of
	// the current period without a gap longer than PeerTimeout between reports.
	reportedAt     time.Time
	reachableSince time.Time
	// reachability is as of the last countPeers.
	reachability reachability
}

const (
	// demandWeight is the weight of a new sample in the exponentially weighted moving
	// average of the demand.
	demandWeight = 0.15
	// minDemand is the fraction of the limit below which demand counts as zero.
	minDemand = 1e-4
)

// Report returns the demand of all client accounts since the last report. It should
// be called once per Interval and the result sent to every other VM. It also evicts
// idle accounts.
func (l *Limiter) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	elapsed := now.Sub(l.reportedAt)
	if l.reportedAt.IsZero() || elapsed <= 0 {
		elapsed = l.opts.Interval
	}
	l.reportedAt = now
	r := Report{VM: l.opts.Self, Incarnation: l.opts.Incarnation, Seq: l.seq}
	for id, s := range l.accounts {
		d := s.measureDemand(elapsed)
		s.published.add(now, d, l.opts.window())
		if d > 0 {
			r.Accounts = append(r.Accounts, AccountDemand{Account: id, Demand: d})
		}
		l.evictIdle(id, s, now)
	}
	slices.SortFunc(r.Accounts, func(a, b AccountDemand) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	return r
}

// measureDemand updates the average demand with the load offered in the elapsed time,
// resets the counters and returns the demand, at most 1.
func (s *accountState) measureDemand(elapsed time.Duration) float64 {
	d := s.offered.demand(s.limits, s.inFlight, elapsed.Seconds())
	s.offered = offeredLoad{}
	s.demand += demandWeight * (d - s.demand)
	if s.demand < minDemand {
		s.demand = 0
	}
	return min(s.demand, 1)
}

// demand returns the highest of the offered loads as fractions of their limits.
func (o offeredLoad) demand(limits contract.Limits, inFlight int, seconds float64) float64 {
	d := 0.0
	if limits.RequestsPerSecond > 0 {
		d = max(d, o.requests/seconds/limits.RequestsPerSecond)
	}
	if limits.TokensPerSecond > 0 {
		d = max(d, o.tokens/seconds/limits.TokensPerSecond)
	}
	if limits.Concurrency > 0 {
		d = max(d, (float64(inFlight)+o.overConcurrency)/float64(limits.Concurrency))
	}
	return d
}

// evictIdle evicts the state of a client account without demand that has not been
// used for IdleTimeout.
func (l *Limiter) evictIdle(id account.ID, s *accountState, now time.Time) {
	if s.inFlight == 0 && s.demand == 0 && len(s.peerDemands) == 0 && now.Sub(s.lastUsed) > l.opts.IdleTimeout {
		delete(l.accounts, id)
	}
}

// Observe processes a report from another VM. It returns false for reports that it
// drops: those of VMs that are not members, of an earlier incarnation or out of
// order.
func (l *Limiter) Observe(r Report, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[r.VM]
	if !ok || !p.accept(r) {
		return false
	}
	if now.Sub(p.reportedAt) > l.opts.PeerTimeout {
		p.reachableSince = now
	}
	p.reportedAt, p.seq = now, r.Seq
	l.storeDemands(r)
	return true
}

// accept reports whether a report is newer than the last one, and records a new
// incarnation.
func (p *peer) accept(report Report) bool {
	if report.Incarnation == p.incarnation {
		return report.Seq > p.seq
	}
	if report.Incarnation == p.previousIncarnation {
		return false
	}
	p.previousIncarnation, p.incarnation = p.incarnation, report.Incarnation
	return true
}

// storeDemands replaces the sender's demands by those of the report; accounts that
// are not listed get zero.
func (l *Limiter) storeDemands(r Report) {
	reported := make(map[account.ID]bool, len(r.Accounts))
	for _, u := range r.Accounts {
		reported[u.Account] = true
		l.stateOf(u.Account).setPeerDemand(r.VM, u.Demand)
	}
	for id, s := range l.accounts {
		if !reported[id] {
			s.setPeerDemand(r.VM, 0)
		}
	}
}

// peerDemand is the demand of another VM for one client account.
type peerDemand struct {
	id     vm.ID
	demand float64
}

// findPeer returns the index of the VM in peerDemands, or where to insert it.
func (s *accountState) findPeer(id vm.ID) (int, bool) {
	return slices.BinarySearchFunc(s.peerDemands, id, func(o peerDemand, id vm.ID) int {
		return strings.Compare(string(o.id), string(id))
	})
}

// setPeerDemand sets another VM's demand; zero removes its entry.
func (s *accountState) setPeerDemand(id vm.ID, demand float64) {
	i, ok := s.findPeer(id)
	switch {
	case ok && demand <= 0:
		s.peerDemands = slices.Delete(s.peerDemands, i, i+1)
	case ok:
		s.peerDemands[i].demand = min(demand, 1)
	case demand > 0:
		s.peerDemands = slices.Insert(s.peerDemands, i, peerDemand{id: id, demand: min(demand, 1)})
	}
}

// SetMembers replaces the list of live VMs. This VM is always a member, whether
// listed or not.
func (l *Limiter) SetMembers(ids []vm.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := make(map[vm.ID]*peer, len(ids))
	for _, id := range ids {
		if id == l.opts.Self {
			continue
		}
		p, ok := l.peers[id]
		if !ok {
			p = &peer{}
		}
		peers[id] = p
	}
	l.peers = peers
	l.peerCounts = peerCounts{}
	for _, s := range l.accounts {
		s.peerDemands = slices.DeleteFunc(s.peerDemands, func(o peerDemand) bool { return peers[o.id] == nil })
	}
}

// reachability classifies another VM by whether its reports arrive.
type reachability uint8

const (
	unreachable reachability = iota
	// uncertain means that the VM became unreachable or reachable within the window,
	// so that this VM and the others may classify it differently.
	uncertain
	reachable
)

// reachabilityOf classifies another VM. While this VM does not report itself, it
// considers all others unreachable.
func (l *Limiter) reachabilityOf(p *peer, now time.Time) reachability {
	window := l.opts.window()
	if now.Sub(l.reportedAt) > l.opts.PeerTimeout {
		return unreachable
	}
	overdue := now.Sub(p.reportedAt) - l.opts.PeerTimeout
	switch {
	case p.reportedAt.IsZero() || overdue > window:
		return unreachable
	case overdue > 0 || now.Sub(p.reachableSince) < window:
		return uncertain
	}
	return reachable
}

// peerCounts holds the number of other VMs by reachability.
type peerCounts struct {
	countedAt time.Time
	count     [reachable + 1]int
}

// countPeers classifies and counts the other VMs, at most once per RefreshInterval.
func (l *Limiter) countPeers(now time.Time) *peerCounts {
	counts := &l.peerCounts
	if !counts.countedAt.IsZero() && now.Sub(counts.countedAt) < l.opts.RefreshInterval {
		return counts
	}
	*counts = peerCounts{countedAt: now}
	for _, p := range l.peers {
		p.reachability = l.reachabilityOf(p, now)
		counts.count[p.reachability]++
	}
	return counts
}

// shareOf returns this VM's share of a client account's limits: the smallest share
// over all ways to classify the uncertain VMs as unreachable or reachable. The VMs
// with the highest demand lower the share most, so adding them in descending order
// of demand finds the minimum.
func (l *Limiter) shareOf(s *accountState, now time.Time) float64 {
	counts := l.countPeers(now)
	input, uncertainDemands := l.shareInput(s, counts, now)
	share := input.share()
	for _, demand := range uncertainDemands {
		input.unreachable--
		input.peerDemand += demand
		share = min(share, input.share())
	}
	unreported := counts.count[uncertain] - len(uncertainDemands)
	input.unreachable -= unreported
	input.peerDemand += float64(unreported) * input.demandFloor
	return min(share, input.share())
}

// shareInput returns the input for the share with all uncertain VMs counted as
// unreachable, and the reported demands of the uncertain VMs in descending order. The
// own demand is the lowest that any other VM may still use.
func (l *Limiter) shareInput(s *accountState, counts *peerCounts, now time.Time) (shareInput, []float64) {
	input := shareInput{members: len(l.peers) + 1, unreachable: counts.count[unreachable] + counts.count[uncertain]}
	input.demandFloor = l.opts.DemandFloor / float64(input.members)
	input.ownDemand = max(s.published.lowest(now, l.opts.window()), input.demandFloor)
	input.peerDemand = float64(counts.count[reachable]) * input.demandFloor
	var uncertainDemands []float64
	for _, o := range s.peerDemands {
		switch l.peers[o.id].reachability {
		case reachable:
			input.peerDemand += max(o.demand-input.demandFloor, 0)
		case uncertain:
			uncertainDemands = append(uncertainDemands, max(o.demand, input.demandFloor))
		}
	}
	slices.SortFunc(uncertainDemands, func(a, b float64) int { return cmp.Compare(b, a) })
	return input, uncertainDemands
}
