package peerfeed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/internal/members"
)

// readerJob is the job name that lease.IsCandidate ranks VMs for.
const readerJob = "reader"

// peer is a VM that can be polled. The name is its ID, or for a seed its address.
type peer struct {
	name, address string
	// passesOn reports that this VM passes what it reads from the peer on to other VMs.
	passesOn bool
}

// backoffKey identifies a backoff. Backoffs are kept for each table, because a
// VM may have fresh data of one table and not of another.
type backoffKey struct {
	peer, table string
}

// backoff is a time in which a VM is not selected.
type backoff struct {
	startedAt time.Time
	duration  time.Duration
}

// selectReader returns the VM to poll for a table; false means to read the store. VMs of
// a region that shares reads poll the region's reader. The readers of the regions, and
// the VMs of other regions, poll the fleet's reader. VMs in backoff are no candidates,
// nor is this VM after a failed read of the store.
func (f *Feed) selectReader(table string) (peer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inStartup() {
		return f.selectSeed(table)
	}
	if !f.sharesReads() {
		return f.selectFleetReader(table)
	}
	if f.polledRecently(table) && !f.storeFailedRecently(table) {
		return f.selectToPassOn(table)
	}
	if p, ok := f.topRanked(f.regionPeers(), table); ok {
		return p, true
	}
	return f.selectToPassOn(table)
}

// readersInBackoff reports whether other VMs share reads with this one and all of them are
// in backoff. It takes f.mu.
func (f *Feed) readersInBackoff(table string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := f.regionPeers()
	if !f.sharesReads() {
		others = f.fleetPeers()
	}
	return len(others) > 0 && !slices.ContainsFunc(others, func(m members.Member) bool { return !f.inBackoff(string(m.ID), table) })
}

// The caller of the functions from here to storeFailedRecently holds f.mu.

// selectFleetReader returns the fleet's reader; false if this VM is it, or if the fleet is
// too small to share reads.
func (f *Feed) selectFleetReader(table string) (peer, bool) {
	if f.polledRecently(table) && !f.storeFailedRecently(table) {
		return f.selectToPassOn(table)
	}
	return f.topRanked(f.fleetPeers(), table)
}

// selectToPassOn returns the fleet's reader for a VM that passes its data on to others. Such a
// VM reads the store itself while its data is not fresh, because that is faster.
func (f *Feed) selectToPassOn(table string) (peer, bool) {
	h := f.histories[table]
	if h == nil || !h.isFresh(f.clock.Now(), f.opts.MaxAge) {
		return peer{}, false
	}
	p, ok := f.topRanked(f.fleetPeers(), table)
	p.passesOn = true
	return p, ok
}

// topRanked returns the VM that ranks highest among the given ones; false if this VM
// ranks higher. All VMs rank in the same way.
func (f *Feed) topRanked(others []members.Member, table string) (peer, bool) {
	var ids []string
	if !f.storeFailedRecently(table) {
		ids = append(ids, string(f.opts.VM))
	}
	for _, m := range others {
		if !f.inBackoff(string(m.ID), table) {
			ids = append(ids, string(m.ID))
		}
	}
	for _, m := range others {
		if !f.inBackoff(string(m.ID), table) && lease.IsCandidate(readerJob, string(m.ID), ids, 1) {
			return peer{name: string(m.ID), address: m.Feed.String()}, true
		}
	}
	return peer{}, false
}

// fleetPeers returns the other VMs of all regions; none if the fleet is too small to have
// a reader.
func (f *Feed) fleetPeers() []members.Member {
	others := f.vms.Filter(func(m members.Member) bool { return m.Feed.IsValid() })
	if len(others)+1 < f.opts.MinFleet {
		return nil
	}
	return others
}

// regionPeers returns the other VMs of the region that serve their copies.
func (f *Feed) regionPeers() []members.Member {
	return f.vms.Filter(func(m members.Member) bool { return m.Feed.IsValid() && f.opts.RegionOf(m.Domain) == f.opts.Region })
}

// sharesReads reports whether the region has enough VMs to share reads.
func (f *Feed) sharesReads() bool {
	return len(f.regionPeers())+1 >= f.opts.MinVMs
}

// inStartup reports whether the seeds are polled in place of the region's reader.
// It needs no lock.
func (f *Feed) inStartup() bool { return f.clock.Since(f.started) < f.opts.StartupPeriod }

// selectSeed returns the seed to poll for a table; false means to read the store.
func (f *Feed) selectSeed(table string) (peer, bool) {
	seeds := f.rankSeeds(table)
	if len(seeds) == 0 {
		return peer{}, false
	}
	return seeds[0], true
}

// rankSeeds returns the seeds that can be polled for a table, in an order that spreads
// the VMs over them. Seeds themselves always read the store, so it returns none for them.
func (f *Feed) rankSeeds(table string) []peer {
	if f.isSeed() || f.polledRecently(table) && !f.storeFailedRecently(table) {
		return nil
	}
	var ranked []peer
	for _, s := range f.opts.Seeds {
		if !f.inBackoff(s, table) {
			ranked = append(ranked, peer{name: s, address: s})
		}
	}
	weight := func(p peer) uint64 { return xxhash.Sum64String(p.address + "/" + string(f.opts.VM)) }
	slices.SortFunc(ranked, func(a, b peer) int { return cmp.Compare(weight(b), weight(a)) })
	return ranked
}

func (f *Feed) isSeed() bool { return slices.Contains(f.opts.Seeds, f.opts.Self) }

// inBackoff reports whether a VM is not selected for a table. While the store doesn't answer either, the cause may be
// this VM's own connection, so that VMs which did not respond are tried again sooner.
func (f *Feed) inBackoff(name, table string) bool {
	b := f.backoffs[backoffKey{name, table}]
	duration := b.duration
	if f.storeFailedRecently(table) {
		duration = min(duration, f.opts.StaleReaderBackoff)
	}
	return f.clock.Since(b.startedAt) < duration
}

// polledRecently reports whether other VMs have polled this VM for the table
// within ReaderDuration.
func (f *Feed) polledRecently(table string) bool {
	at, ok := f.polledAt[table]
	return ok && f.clock.Since(at) < f.opts.ReaderDuration
}

// storeFailedRecently reports whether this VM's last read of the table from the
// store failed less than StoreRetryDelay ago.
func (f *Feed) storeFailedRecently(table string) bool {
	at, failed := f.storeFailedAt[table]
	return failed && f.clock.Since(at) < f.opts.StoreRetryDelay
}

// startBackoff excludes a peer from selection for the table after a failed poll. The time is short if its data was stale
// or only the connection may have been lost; a seed that didn't respond during startup is excluded for StartupPeriod.
func (f *Feed) startBackoff(p peer, table string, err error) {
	duration := f.opts.ReaderBackoff
	switch {
	case errorx.IsOfType(err, errStale), errorx.IsOfType(err, errPeerConnectionLost):
		duration = f.opts.StaleReaderBackoff
	case f.inStartup():
		duration = f.opts.StartupPeriod
	}
	f.mu.Lock()
	f.backoffs[backoffKey{p.name, table}] = backoff{startedAt: f.clock.Now(), duration: duration}
	f.mu.Unlock()
	f.log.Info("poll of reader failed, backing off", "reader", p.name, "table", table,
		"pause_ms", duration.Milliseconds(), "error", err)
}

// recordStoreRead records the outcome of a read of the store.
func (f *Feed) recordStoreRead(table string, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !failed {
		delete(f.storeFailedAt, table)
		return
	}
	f.storeFailedAt[table] = f.clock.Now()
}

// recordPoll records that another VM polled this one for a table. If this VM's
// data is not fresh, it interrupts the poll that is waiting for changes, so that
// the store is read at once.
func (f *Feed) recordPoll(table string, fresh bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polledAt[table] = f.clock.Now()
	if cancel := f.cancelWait[table]; cancel != nil && !fresh && !f.storeFailedRecently(table) {
		cancel()
	}
}
