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
	// Crashes is the number of crashes that a key must explain to be found to cause them.
	// UnclearCrashes is the number for a part of a prompt if another one explains as many, and
	// WeakCrashes if the evidence of less than MinStrong of them is strong. OnceSoundCrashes is the number for a key that
	// upstreams are known to have survived.
	Crashes, UnclearCrashes, WeakCrashes, OnceSoundCrashes int
	MinStrong                                              int
	// Separation is the time between two crashes that count as two against a part of a
	// prompt. Upstreams that end together have a cause in common that is no request.
	Separation time.Duration
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
		Crashes: 3, UnclearCrashes: 4, WeakCrashes: 6, OnceSoundCrashes: 5, MinStrong: 2,
		PartCrashesInAll: 7, RequestCrashesInAll: 5,
		HoldCrashes: 2, HoldTime: 3 * time.Second,
		Separation: 50 * time.Millisecond, SettleTime: 150 * time.Millisecond, SoundMemory: 2 * time.Second, Window: 10 * time.Minute,
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
// order and number.
func (b *Blame) RecordCrash(c Crash) {
	if aliveAt, seen := b.alive[c.Incarnation]; seen && c.At+b.opts.SettleTime <= aliveAt {
		return
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
}

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
// of the lost connection.
func (b *Blame) ReportAlive(of Incarnation, at time.Duration) {
	b.alive[of] = max(b.alive[of], at)
	if c := b.crashes[of]; c != nil && c.at+b.opts.SettleTime <= at {
		delete(b.crashes, of)
	}
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
	return cmp.Or(cmp.Compare(c.at, o.at), cmp.Compare(c.of.Upstream, o.of.Upstream), cmp.Compare(c.of.Born, o.of.Born))
}

// dropWaiting removes one suspect whose answer had not begun. It returns false if there is
// none.
func (c *crash) dropWaiting() bool {
	for key, s := range c.suspects {
		if !s.begun {
			delete(c.suspects, key)
			return true
		}
	}
	return false
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
	// Held maps the whole requests that are held back to the time until which they are.
	Held map[Key]time.Duration
	// Unsettled reports that crashes are too recent to count yet.
	Unsettled bool
}

// accusation is the evidence against a key.
type accusation struct {
	key Key
	// crashes are the crashes that it may have caused, in the order of their times.
	crashes []*crash
	// count is their number, without those that are not separate, and strong the number of those with strong evidence.
	count, strong int
	// inAll is the number of separate crashes in which the key was involved, whatever explains
	// them, and countedAt the time of the last of these.
	inAll     int
	countedAt time.Duration
	// shared reports whether several requests speak against the key.
	shared bool
	// depth is the position of the key in the latest request that speaks against it.
	depth int
	// onceSound reports whether upstreams are known to have survived the key.
	onceSound bool
}

// Decide weighs the evidence.
func (b *Blame) Decide(now time.Duration) Decision {
	maps.DeleteFunc(b.crashes, func(_ Incarnation, c *crash) bool { return c.at < now-b.opts.Window })
	maps.DeleteFunc(b.alive, func(_ Incarnation, at time.Duration) bool { return at < now-b.opts.Window })
	d := Decision{Held: make(map[Key]time.Duration)}
	for {
		accused, unsettled := b.accusations(now)
		d.Unsettled = unsettled
		guilty := b.strongest(accused)
		if guilty == nil {
			b.hold(accused, d.Held)
			return d
		}
		for _, a := range accused {
			if a == guilty || a.isIndistinguishable(guilty) {
				b.found[a.key] = true
				d.Found = append(d.Found, a.verdict())
			}
		}
	}
}

// isIndistinguishable reports whether the same evidence speaks against two whole requests.
// To keep both out costs little, as no other request is concerned.
func (a *accusation) isIndistinguishable(o *accusation) bool {
	return a.key.Kind == WholeRequest && o.key.Kind == WholeRequest && a.onceSound == o.onceSound &&
		a.strong == o.strong && a.explains(o) && o.explains(a)
}

// accusations returns the evidence against each key that is involved in several crashes and
// was not found yet. Crashes that are not settled are left out; it reports whether there are any.
func (b *Blame) accusations(now time.Duration) (accused []*accusation, unsettled bool) {
	byKey := make(map[Key]*accusation)
	for _, c := range slices.SortedFunc(maps.Values(b.crashes), (*crash).compare) {
		if now < c.at+b.opts.SettleTime {
			unsettled = true
			continue
		}
		explained := b.explanation(c)
		for key, s := range c.suspects {
			if !b.found[key] {
				b.accuse(byKey, key, s, c, explained == PromptPart || explained == key.Kind)
			}
		}
	}
	for _, a := range byKey {
		if a.inAll >= b.opts.HoldCrashes {
			accused = append(accused, a)
		}
	}
	slices.SortFunc(accused, func(x, y *accusation) int { return y.compare(x) })
	return accused, unsettled
}

// accuse adds a crash to the evidence against a key. explained reports whether a key that
// was found explains the crash.
func (b *Blame) accuse(byKey map[Key]*accusation, key Key, s suspicion, c *crash, explained bool) {
	a := byKey[key]
	if a == nil {
		_, onceSound := b.LastSound(key)
		a = &accusation{key: key, onceSound: onceSound}
		byKey[key] = a
	}
	separate := a.isSeparate(c, b.opts.Separation)
	if separate {
		a.inAll++
		a.countedAt = c.at
	}
	if explained {
		return
	}
	if separate {
		a.count++
		if s.begun {
			a.strong++
		}
	}
	a.shared = a.shared || s.several || s.request == Key{} || len(a.crashes) > 0 && a.crashes[0].suspects[key].request != s.request
	a.depth = s.depth
	a.crashes = append(a.crashes, c)
}

// isSeparate reports whether a crash counts beside those before. A whole request runs on
// one upstream at a time.
func (a *accusation) isSeparate(c *crash, separation time.Duration) bool {
	return a.key.Kind == WholeRequest || a.inAll == 0 || c.at >= a.countedAt+separation
}

// explanation returns the kind of the widest key found that explains a crash, empty if none
// does.
func (b *Blame) explanation(c *crash) Kind {
	var kind Kind
	for key := range c.suspects {
		if !b.found[key] {
			continue
		}
		if kind = key.Kind; kind == PromptPart {
			break
		}
	}
	return kind
}

// strongest returns the evidence against the key that explains the most crashes, of those
// that explain enough; nil if there is none.
func (b *Blame) strongest(accused []*accusation) *accusation {
	for _, a := range accused {
		if a.count >= b.needed(a, accused) || b.isInvolvedTooOften(a) {
			return a
		}
	}
	return nil
}

// isInvolvedTooOften reports whether a key that no upstream is known to have survived was
// involved in so many crashes that it is found whatever explains them.
func (b *Blame) isInvolvedTooOften(a *accusation) bool {
	if a.key.Kind == WholeRequest {
		return !a.onceSound && a.inAll >= b.opts.RequestCrashesInAll
	}
	return !a.onceSound && a.shared && a.inAll >= b.opts.PartCrashesInAll
}

// hold adds the whole requests that are to be held back.
func (b *Blame) hold(accused []*accusation, held map[Key]time.Duration) {
	for _, a := range accused {
		if a.key.Kind == WholeRequest && a.count >= b.opts.HoldCrashes && !a.isOutweighed(accused) {
			held[a.key] = a.crashes[len(a.crashes)-1].at + b.opts.HoldTime
		}
	}
}

// never is more crashes than any key explains.
const never = math.MaxInt

// needed returns the number of crashes that a key must explain to be found to cause them.
func (b *Blame) needed(a *accusation, accused []*accusation) int {
	n := b.opts.Crashes
	if a.onceSound {
		n = b.opts.OnceSoundCrashes
	}
	switch {
	case a.isOutweighed(accused):
		return never
	case a.key.Kind == PromptPart:
		return max(n, b.neededOfPart(a, accused))
	}
	return n
}

// neededOfPart returns the number of crashes that a part of a prompt must explain beside
// other parts.
func (b *Blame) neededOfPart(a *accusation, accused []*accusation) int {
	if !a.shared {
		return never
	}
	n := b.opts.Crashes
	if a.strong < b.opts.MinStrong {
		n = b.opts.WeakCrashes
	}
	for _, other := range accused {
		if other.key.Kind != PromptPart || !other.explains(a) {
			continue
		}
		if other.compare(a) > 0 {
			return never
		}
		if other.onceSound == a.onceSound && other.strong == a.strong {
			n = max(n, b.opts.UnclearCrashes)
		}
	}
	return n
}

// explains reports whether a is another key that may have caused all crashes of o.
func (a *accusation) explains(o *accusation) bool {
	if a == o || len(o.crashes) == 0 || len(a.crashes) < len(o.crashes) {
		return false
	}
	left := o.crashes
	for _, c := range a.crashes {
		if len(left) > 0 && c == left[0] {
			left = left[1:]
		}
	}
	return len(left) == 0
}

// isOutweighed reports whether the evidence against another key, which explains the same
// crashes, is stronger.
func (a *accusation) isOutweighed(accused []*accusation) bool {
	return slices.ContainsFunc(accused, func(o *accusation) bool {
		return o.strong > a.strong && !o.onceSound && o.explains(a)
	})
}

// compare orders keys by how likely they are the cause: the one that explains more crashes,
// and these with stronger evidence, one that was never answered soundly, and one that fewer
// requests share.
func (a *accusation) compare(o *accusation) int {
	soundness := 0
	if a.onceSound != o.onceSound {
		soundness = 1
		if a.onceSound {
			soundness = -1
		}
	}
	return cmp.Or(cmp.Compare(a.count, o.count), cmp.Compare(a.strong, o.strong), soundness,
		cmp.Compare(a.depth, o.depth), cmp.Compare(a.key.Digest, o.key.Digest))
}

// verdict returns the verdict that follows from the evidence.
func (a *accusation) verdict() Verdict {
	v := Verdict{Key: a.key}
	for _, c := range a.crashes {
		v.Evidence = append(v.Evidence, Evidence{Upstream: c.of.Upstream, At: c.at})
	}
	return v
}
