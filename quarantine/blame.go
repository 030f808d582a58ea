package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Options configure a Blame.
type Options struct {
	// Crashes is the number of crashes that a key must explain to be found to cause them,
	// TiedCrashes the number if another key explains as many, and OnceSoundCrashes the number
	// for a key that upstreams are known to have survived.
	Crashes, TiedCrashes, OnceSoundCrashes int
	// Separation is the time between two crashes that count as two. Upstreams that end
	// together have a cause in common that is no request.
	Separation time.Duration
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
		Crashes: 3, TiedCrashes: 4, OnceSoundCrashes: 5,
		Separation: 100 * time.Millisecond, SettleTime: 150 * time.Millisecond, SoundMemory: 2 * time.Second, Window: 10 * time.Minute,
		MaxCrashes: 64, MaxSuspects: 64,
	}
}

// Blame decides which keys crash upstreams, from crashes and sound answers that any VM
// saw. It answers a load in which few requests end every upstream that runs them, and take
// the other requests there with them:
//
//   - A key that crashes upstreams does so on each of them. A sound answer therefore
//     clears a key of all crashes until then.
//   - Of the requests on an upstream that ended, those whose answer had just begun are
//     suspected, and the others only if there is none of these.
//   - The key that explains the most crashes is found to cause them, and its crashes are
//     not held against others.
//
// Time is a parameter. A Blame is not safe for concurrent use.
type Blame struct {
	opts    Options
	crashes map[Incarnation]*crash
	sound   soundTimes
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
	// depth is the position of the key in the prompt; a greater one is shared by fewer
	// requests.
	depth int
}

// NewBlame returns a Blame without evidence.
func NewBlame(opts Options) *Blame {
	return &Blame{opts: opts, crashes: make(map[Incarnation]*crash), found: make(map[Key]bool)}
}

// RecordCrash adds what a VM saw of a crash. Reports of the same crash are merged, in any
// order and number.
func (b *Blame) RecordCrash(c Crash) {
	known := b.crashes[c.Incarnation]
	if known == nil {
		known = &crash{of: c.Incarnation, at: c.At, suspects: make(map[Key]suspicion)}
		b.crashes[c.Incarnation] = known
	}
	known.at = min(known.at, c.At)
	for _, s := range c.Suspects {
		for depth, key := range s.Parts {
			b.suspect(known, key, suspicion{begun: s.Begun, depth: depth})
		}
	}
	b.forgetOldest()
}

func (b *Blame) suspect(c *crash, key Key, s suspicion) {
	known, exists := c.suspects[key]
	if !exists && len(c.suspects) >= b.opts.MaxSuspects {
		return
	}
	c.suspects[key] = suspicion{begun: known.begun || s.begun, depth: max(known.depth, s.depth)}
}

// forgetOldest keeps the number of crashes within Options.MaxCrashes.
func (b *Blame) forgetOldest() {
	if len(b.crashes) <= b.opts.MaxCrashes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(b.crashes)), func(x, y *crash) int { return cmp.Compare(x.at, y.at) })
	delete(b.crashes, oldest.of)
}

// RecordSound records that an upstream survived a request with the key whose answer began
// at the given time.
func (b *Blame) RecordSound(key Key, at time.Duration) { b.sound.record(key, at) }

// WasSound reports whether a request with the key was answered within Options.SoundMemory
// before a time, or later.
func (b *Blame) WasSound(key Key, at time.Duration) bool {
	soundAt, known := b.sound.last(key)
	return known && soundAt >= at-b.opts.SoundMemory
}

// LastSound returns when an upstream last survived a request with the key, and false if
// that is not known.
func (b *Blame) LastSound(key Key) (time.Duration, bool) { return b.sound.last(key) }

// Suspects reports whether any crash that is remembered involves the key.
func (b *Blame) Suspects(key Key) bool {
	for _, c := range b.crashes {
		if _, suspected := c.suspects[key]; suspected {
			return true
		}
	}
	return false
}

// Find records that the key was found to crash upstreams, here or by another VM.
func (b *Blame) Find(key Key) { b.found[key] = true }

// Forget clears a key of all crashes.
func (b *Blame) Forget(key Key) {
	delete(b.found, key)
	for _, c := range b.crashes {
		delete(c.suspects, key)
	}
}

// Decision is the result of Decide.
type Decision struct {
	// Found lists keys that are newly found to crash upstreams.
	Found []Verdict
	// Unsettled reports that crashes are too recent to count yet.
	Unsettled bool
}

// Decide weighs the evidence.
func (b *Blame) Decide(now time.Duration) Decision {
	b.forgetBefore(now - b.opts.Window)
	accused, unsettled := b.accusations(now)
	d := Decision{Unsettled: unsettled}
	for {
		v, found := b.strongest(accused)
		if !found {
			break
		}
		b.found[v.Key] = true
		d.Found = append(d.Found, v)
		accused, _ = b.accusations(now)
	}
	return d
}

func (b *Blame) forgetBefore(at time.Duration) {
	maps.DeleteFunc(b.crashes, func(_ Incarnation, c *crash) bool { return c.at < at })
}

// accusations returns for each key the crashes that speak against it, in the order of
// their times, without those that a key in found explains. Crashes that are not settled
// are left out; it reports whether there are any.
func (b *Blame) accusations(now time.Duration) (accused map[Key][]*crash, unsettled bool) {
	byTime := slices.SortedFunc(maps.Values(b.crashes), func(x, y *crash) int { return cmp.Compare(x.at, y.at) })
	accused = make(map[Key][]*crash)
	for _, c := range byTime {
		if b.isExplained(c) {
			continue
		}
		if now < c.at+b.opts.SettleTime {
			unsettled = true
			continue
		}
		for _, key := range b.suspected(c) {
			accused[key] = append(accused[key], c)
		}
	}
	return accused, unsettled
}

func (b *Blame) isExplained(c *crash) bool {
	for key := range c.suspects {
		if b.found[key] {
			return true
		}
	}
	return false
}

// suspected returns the keys suspected of a crash: those that were not cleared and had
// begun, or, if none had, all that were not cleared.
func (b *Blame) suspected(c *crash) []Key {
	var begun, waiting []Key
	for key, s := range c.suspects {
		switch {
		case b.WasSound(key, c.at):
		case s.begun:
			begun = append(begun, key)
		default:
			waiting = append(waiting, key)
		}
	}
	if len(begun) > 0 {
		return begun
	}
	return waiting
}

// count returns the number of crashes, in the order of their times, of which those within
// Options.Separation count as one.
func (b *Blame) count(crashes []*crash) int {
	n := 0
	var last time.Duration
	for _, c := range crashes {
		if n == 0 || c.at >= last+b.opts.Separation {
			n++
			last = c.at
		}
	}
	return n
}

// strongest returns the verdict on the key that explains the most crashes, of those that
// explain enough.
func (b *Blame) strongest(accused map[Key][]*crash) (Verdict, bool) {
	var keys []Key
	for key, crashes := range accused {
		if b.count(crashes) >= b.opts.Crashes {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y Key) int {
		return cmp.Or(cmp.Compare(b.count(accused[y]), b.count(accused[x])), b.compare(y, x, accused))
	})
	for _, key := range keys {
		crashes := accused[key]
		if b.count(crashes) < b.needed(key, accused) {
			continue
		}
		v := Verdict{Key: key}
		for _, c := range crashes {
			v.Evidence = append(v.Evidence, Evidence{Upstream: c.of.Upstream, At: c.at})
		}
		return v, true
	}
	return Verdict{}, false
}

// never is more crashes than any key explains.
const never = math.MaxInt

// needed returns the number of crashes that a key must explain to be found to cause them.
func (b *Blame) needed(key Key, accused map[Key][]*crash) int {
	onceSound := b.wasEverSound(key)
	n := b.opts.Crashes
	if onceSound {
		n = b.opts.OnceSoundCrashes
	}
	for other, crashes := range accused {
		if other == key || !containsAll(crashes, accused[key]) {
			continue
		}
		if b.compare(other, key, accused) > 0 {
			return never
		}
		if b.wasEverSound(other) == onceSound {
			n = max(n, b.opts.TiedCrashes)
		}
	}
	return n
}

// containsAll reports whether all contains each of some; both are in the same order.
func containsAll(all, some []*crash) bool {
	for _, c := range all {
		if len(some) > 0 && c == some[0] {
			some = some[1:]
		}
	}
	return len(some) == 0
}

func (b *Blame) wasEverSound(key Key) bool {
	_, known := b.sound.last(key)
	return known
}

// compare orders keys that explain the same number of crashes: one that was never answered
// soundly is the likelier cause, then one that fewer requests share.
func (b *Blame) compare(x, y Key, accused map[Key][]*crash) int {
	xSound, ySound := b.wasEverSound(x), b.wasEverSound(y)
	if xSound != ySound {
		if ySound {
			return 1
		}
		return -1
	}
	last := func(key Key) int {
		crashes := accused[key]
		return crashes[len(crashes)-1].suspects[key].depth
	}
	return cmp.Or(cmp.Compare(last(x), last(y)), cmp.Compare(x.Digest, y.Digest))
}
