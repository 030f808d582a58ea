package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options configure a Blame.
type Options struct {
	// Crashes is the number of crashes that a key must explain to be found to cause them, and
	// OnceSoundCrashes the number for a key that upstreams are known to have survived.
	Crashes, OnceSoundCrashes int
	// UnclearCrashes is the number for a part of a prompt if another one explains as many, and
	// WeakCrashes if the evidence of less than MinStrong of them is strong.
	UnclearCrashes, WeakCrashes, MinStrong int
	// Separation is the time between two crashes that count as two against a part of a
	// prompt. Upstreams that end together have a cause in common that is no request.
	Separation time.Duration
	// ManyTogether is the number of upstreams that end within Separation from which this holds
	// for whole requests, too.
	ManyTogether int
	// PartCrashesInAll and RequestCrashesInAll are the numbers of crashes from which a key is
	// found even if others explain them.
	PartCrashesInAll, RequestCrashesInAll int
	// HoldCrashes is the number of crashes from which a whole request is held back for
	// HoldTime, so that it doesn't end more upstreams than come back in that time.
	HoldCrashes int
	HoldTime    time.Duration
	// SettleTime is the time after a crash in which the reports of all VMs arrive. The crash
	// counts from then on.
	SettleTime time.Duration
	// SoundMemory is the time before a crash within which a sound answer clears a key of it.
	// After the crash any sound answer does.
	SoundMemory time.Duration
	// Window is how long a crash is remembered.
	Window time.Duration
	// MaxCrashes and MaxSuspects bound the crashes that are remembered, and the keys
	// suspected of each.
	MaxCrashes, MaxSuspects int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Crashes: 3, OnceSoundCrashes: 5, UnclearCrashes: 4, WeakCrashes: 6, MinStrong: 2,
		PartCrashesInAll: 7, RequestCrashesInAll: 5,
		HoldCrashes: 2, HoldTime: 3 * time.Second,
		Separation: 50 * time.Millisecond, ManyTogether: 3, SettleTime: 150 * time.Millisecond,
		SoundMemory: 2 * time.Second, Window: 10 * time.Minute,
		MaxCrashes: 64, MaxSuspects: 192,
	}
}

// Blame decides which keys crash upstreams, from crashes and sound answers that any VM
// saw. It answers a load in which few requests end every upstream that runs them, and take
// the other requests there with them:
//
//   - A key that crashes upstreams does so on each of them. A sound answer therefore
//     clears a key of all crashes until then.
//   - All requests on an upstream that ended are suspected; the evidence is strong against
//     those whose answer had just begun, and weak against those that may have waited.
//   - An upstream that answers after its reported end has not ended.
//   - The key that explains the most crashes is found to cause them, and its crashes are
//     not held against others. But crashes that a whole request explains still speak against
//     the parts of its prompt, as other requests with one of them may follow.
//   - A part of a prompt is found only if several requests speak against it.
//
// Time is a parameter. A Blame is not safe for concurrent use.
type Blame struct {
	opts    Options
	crashes map[Incarnation]*crash
	// soundParts and soundRequests are apart, because requests are many.
	soundParts, soundRequests soundTimes
	// alive holds when upstreams with a reported crash were seen alive after it.
	alive map[Incarnation]time.Duration
	// found holds the keys that were found to crash upstreams.
	found map[Key]bool
}

// crash is the end of an upstream, as far as it is known.
type crash struct {
	of       Incarnation
	at       time.Duration
	suspects map[Key]suspicion
}

// suspicion is how a key was involved in a crash.
type suspicion struct {
	begun bool
	// depth is the position of the key among those of its request; a greater one is shared
	// by fewer requests.
	depth int
	// request is the key of a request with this one, zero if unknown; several is set if
	// there are others.
	request Key
	several bool
}

// merge returns what two reports say together.
func (s suspicion) merge(o suspicion) suspicion {
	return suspicion{
		begun: s.begun || o.begun, depth: max(s.depth, o.depth), request: s.request,
		several: s.several || o.several || s.request != o.request,
	}
}

// NewBlame returns a Blame without evidence.
func NewBlame(opts Options) *Blame {
	return &Blame{opts: opts, crashes: make(map[Incarnation]*crash), alive: make(map[Incarnation]time.Duration), found: make(map[Key]bool)}
}

// RecordCrash adds what a VM saw of a crash. Reports of the same crash are merged, in any
// order and number. It returns false if the upstream is known to have gone on.
func (b *Blame) RecordCrash(c Crash) bool {
	if aliveAt, seen := b.alive[c.Incarnation]; seen && c.At+b.opts.SettleTime <= aliveAt {
		return false
	}
	known := b.crashes[c.Incarnation]
	if known == nil {
		known = &crash{of: c.Incarnation, at: c.At, suspects: make(map[Key]suspicion)}
		b.crashes[c.Incarnation] = known
	}
	known.at = min(known.at, c.At)
	for _, s := range c.Suspects {
		request := s.request()
		for depth, key := range s.Keys {
			b.suspect(known, key, suspicion{begun: s.Begun, depth: depth, request: request})
		}
	}
	b.forgetOldest()
	return true
}

// Knows reports whether a crash of the upstream is remembered.
func (b *Blame) Knows(of Incarnation) bool { return b.crashes[of] != nil }

// RecordAlive records that something came from an upstream at a time. A lost connection
// before was no crash then. It returns false if none was reported; what was on its way at
// the time of the crash shows nothing.
func (b *Blame) RecordAlive(of Incarnation, at time.Duration) bool {
	c := b.crashes[of]
	if c == nil || at < c.at+b.opts.SettleTime {
		return false
	}
	b.ReportAlive(of, at)
	return true
}

// ReportAlive applies what another VM recorded by RecordAlive. It may come before the report
// of the lost connection. It returns whether it cleared a crash.
func (b *Blame) ReportAlive(of Incarnation, at time.Duration) bool {
	b.alive[of] = max(b.alive[of], at)
	c := b.crashes[of]
	if c == nil || c.at+b.opts.SettleTime > at {
		return false
	}
	delete(b.crashes, of)
	return true
}

func (b *Blame) suspect(c *crash, key Key, s suspicion) {
	if b.WasSound(key, c.at) {
		return
	}
	known, exists := c.suspects[key]
	if !exists && len(c.suspects) >= b.opts.MaxSuspects && !(s.begun && c.dropWaiting()) {
		return
	}
	if exists {
		s = known.merge(s)
	}
	c.suspects[key] = s
}

// compare orders crashes by their times.
func (c *crash) compare(o *crash) int {
	return cmp.Or(cmp.Compare(c.at, o.at), c.of.compare(o.of))
}

// dropWaiting removes the first suspect by key whose answer had not begun. It returns false if
// there is none.
func (c *crash) dropWaiting() bool {
	var first Key
	found := false
	for key, s := range c.suspects {
		if !s.begun && (!found || key.Compare(first) < 0) {
			first, found = key, true
		}
	}
	delete(c.suspects, first)
	return found
}

// forgetOldest keeps the number of crashes within Options.MaxCrashes.
func (b *Blame) forgetOldest() {
	if len(b.crashes) <= b.opts.MaxCrashes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(b.crashes)), (*crash).compare)
	delete(b.crashes, oldest.of)
}

// RecordSound records that an upstream survived a request with the key whose answer began
// at the given time.
func (b *Blame) RecordSound(key Key, at time.Duration) {
	b.soundOf(key).record(key, at)
	for _, c := range b.crashes {
		if at >= c.at-b.opts.SoundMemory {
			delete(c.suspects, key)
		}
	}
}

func (b *Blame) soundOf(key Key) *soundTimes {
	if key.Kind == WholeRequest {
		return &b.soundRequests
	}
	return &b.soundParts
}

// WasSound reports whether a request with the key was answered within Options.SoundMemory
// before a time, or later.
func (b *Blame) WasSound(key Key, at time.Duration) bool {
	soundAt, known := b.LastSound(key)
	return known && soundAt >= at-b.opts.SoundMemory
}

// LastSound returns when an upstream last survived a request with the key, and false if
// that is not known.
func (b *Blame) LastSound(key Key) (time.Duration, bool) { return b.soundOf(key).last(key) }

// Find records that the key was found to crash upstreams, here or by another VM.
func (b *Blame) Find(key Key) { b.found[key] = true }

// RetainFound forgets the keys found that keep returns false for.
func (b *Blame) RetainFound(keep func(Key) bool) {
	maps.DeleteFunc(b.found, func(key Key, _ bool) bool { return !keep(key) })
}

// Forget clears a key of all crashes.
func (b *Blame) Forget(key Key) {
	delete(b.found, key)
	for _, c := range b.crashes {
		delete(c.suspects, key)
	}
}
