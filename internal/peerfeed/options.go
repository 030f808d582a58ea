package peerfeed

import (
	"context"
	"net"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/vm"
)

// StoreClock is an estimate of the store's steady clock.
type StoreClock interface {
	// Now returns the time on the clock, and false while it is not known.
	Now() (time.Duration, bool)
	// ObserveClock updates the estimate from the current time on another VM's clock.
	ObserveClock(now time.Duration)
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Feed. DefaultOptions sets all of them but VM, Region,
// RegionOf, Seeds and Self.
type Options struct {
	// VM and Region identify this VM and its region.
	VM     vm.ID
	Region domain.Region
	// RegionOf returns the region of a failure domain.
	RegionOf func(domain.ID) domain.Region
	// Seeds are the addresses (host:port) of the VMs to poll during startup; Self
	// is the address of this VM.
	Seeds []string
	Self  string
	// StoreClock is the store's steady clock. VMs that don't read the store themselves
	// learn it from their readers. Nil passes no clock on.
	StoreClock StoreClock
	// StartupPeriod is how long after the start the seeds are polled. SeedTimeout
	// is how long a listing tries the seeds, which may be down or not listening
	// yet, before it reads the store. The pause between two tries is
	// SeedRetryDelay.
	StartupPeriod, SeedTimeout, SeedRetryDelay time.Duration
	// MinVMs is the number of VMs in a region, this one included, from which the
	// region has a reader of its own.
	MinVMs int
	// MinFleet is the number of VMs of all regions from which the fleet has a reader,
	// which the regions' readers poll instead of the store.
	MinFleet int
	// MaxAge is how long a VM's data stays fresh after the store last answered
	// one of its polls.
	MaxAge time.Duration
	// ReaderPollWait and FollowerPollWait are the maximum times that a long poll
	// waits for changes: of the store by a reader, and of a reader by a follower.
	ReaderPollWait, FollowerPollWait time.Duration
	// RenewSpread is the time over which a reader spreads its responses to followers when the store has confirmed its
	// data.
	RenewSpread time.Duration
	// HedgeAge is the age of a VM's copy of a table, counted from the store's confirmation through all VMs on the way,
	// at which its poll is hedged: the store and other VMs are asked as well. ReaderHedgeAge is that of a VM that others
	// poll.
	HedgeAge, ReaderHedgeAge time.Duration
	// FreshWait is how long a VM that is polled waits for its data to become
	// fresh before it responds.
	FreshWait time.Duration
	// ReaderDuration is how long a VM reads the store after it was last polled by
	// another VM.
	ReaderDuration time.Duration
	// Dial opens connections to other VMs; nil is that of package net.
	Dial DialFunc
	// DialTimeout is how long opening a connection to another VM may take. It is short,
	// because a VM without power doesn't answer and there are others to poll.
	DialTimeout time.Duration
	// Slack is the time that a reader's response header may take beyond the wait
	// of the poll, and the idle timeout of the response body. For a reader whose answers
	// take longer it rises up to MaxSlack.
	Slack, MaxSlack time.Duration
	// StoreRetryDelay is how long this VM doesn't read the store after a failed
	// read, while the data of the readers is stale, too.
	StoreRetryDelay time.Duration
	// ReaderBackoff is how long a reader that didn't respond is not selected.
	// StaleReaderBackoff is the same for one that responded that its data is stale, and
	// for all while the store doesn't answer this VM either.
	ReaderBackoff, StaleReaderBackoff time.Duration
}

// DefaultChangeBound is the time within which the default options deliver a change of
// the store to all VMs.
const DefaultChangeBound = 3 * time.Second

const (
	// switchTime is the time in which a VM gets newer data elsewhere once its copy, or that of its reader, has become too
	// old.
	switchTime = 900 * time.Millisecond
	// confirmSlack is how much longer than the wait of its poll a reader's data stays
	// fresh, so that it is confirmed again in time.
	confirmSlack = 700 * time.Millisecond
	// answerTime is the time within which the store answers a poll once its wait is over.
	answerTime = 300 * time.Millisecond
	// renewTime is how much longer followers wait than the reader, so that its confirmation ends their polls.
	renewTime, renewSpread = 200 * time.Millisecond, 100 * time.Millisecond
	// maxSlack is the longest Slack.
	maxSlack = 800 * time.Millisecond
	// readerSlack is how much longer than the wait of its followers' polls a VM remains a
	// reader without being polled.
	readerSlack = 2500 * time.Millisecond
)

// OptionsWithin returns the default options with polls that are as long as possible if
// each change has to reach all VMs within the given time, at least 2 s.
func OptionsWithin(bound time.Duration) Options {
	o := DefaultOptions()
	o.MaxAge = bound - switchTime
	o.HedgeAge = o.MaxAge
	o.ReaderPollWait = o.MaxAge - confirmSlack
	o.ReaderHedgeAge = o.ReaderPollWait + answerTime
	o.FollowerPollWait = o.ReaderPollWait + renewTime
	o.ReaderDuration = o.FollowerPollWait + readerSlack
	return o
}

// DefaultOptions returns the default options, for DefaultChangeBound. The caller has to
// set VM, Region, RegionOf, Seeds and Self.
func DefaultOptions() Options {
	return Options{
		StartupPeriod: 3 * time.Second, SeedTimeout: 900 * time.Millisecond, SeedRetryDelay: 30 * time.Millisecond,
		MinVMs: 6, MinFleet: 4, MaxAge: 2100 * time.Millisecond,
		ReaderPollWait: 1400 * time.Millisecond, FollowerPollWait: 1600 * time.Millisecond,
		HedgeAge: 2100 * time.Millisecond, ReaderHedgeAge: 1700 * time.Millisecond, RenewSpread: renewSpread,
		FreshWait: 250 * time.Millisecond, ReaderDuration: 4100 * time.Millisecond,
		DialTimeout: 150 * time.Millisecond, Slack: 400 * time.Millisecond, MaxSlack: maxSlack,
		StoreRetryDelay: 2500 * time.Millisecond,
		ReaderBackoff:   10 * time.Second, StaleReaderBackoff: 2 * time.Second,
	}
}
