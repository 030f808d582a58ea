package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Decision is the result of Decide.
type Decision struct {
	// Found lists keys that are newly found to crash upstreams.
	Found []Verdict
	// Held maps the whole requests that are held back to the time until which they are.
	Held map[Key]time.Duration
	// Unsettled reports that crashes are too recent to count yet.
	Unsettled bool
}

// candidate is the evidence against a key.
type candidate struct {
	key Key
	// crashes are the crashes that it may have caused, in the order of their times.
	crashes []*crash
	// count is their number, without those that are not separate, and strong the number of
	// those with strong evidence.
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
		all, unsettled := b.candidates(now)
		d.Unsettled = unsettled
		cause := b.strongest(all)
		if cause == nil {
			b.hold(all, d.Held)
			return d
		}
		for _, a := range all {
			if a == cause || a.isIndistinguishable(cause) {
				b.found[a.key] = true
				d.Found = append(d.Found, a.verdict())
			}
		}
	}
}

// isIndistinguishable reports whether the same evidence speaks against two whole requests.
// To keep both out costs little, as no other request is concerned.
func (a *candidate) isIndistinguishable(o *candidate) bool {
	return a.key.Kind == WholeRequest && o.key.Kind == WholeRequest && a.onceSound == o.onceSound &&
		a.strong == o.strong && a.explains(o) && o.explains(a)
}

// candidates returns the evidence against each key that is involved in several crashes and
// was not found yet. Crashes that are not settled are left out; it reports whether there
// are any.
func (b *Blame) candidates(now time.Duration) (all []*candidate, unsettled bool) {
	byKey := make(map[Key]*candidate)
	crashes := slices.SortedFunc(maps.Values(b.crashes), (*crash).compare)
	for i, c := range crashes {
		if now < c.at+b.opts.SettleTime {
			unsettled = true
			continue
		}
		explained := b.explanation(c)
		amongMany := b.isAmongMany(crashes, i)
		for key, s := range c.suspects {
			if !b.found[key] {
				b.addCrash(byKey, key, s, c, explained == PromptPart || explained == key.Kind, amongMany)
			}
		}
	}
	for _, a := range byKey {
		if a.inAll >= b.opts.HoldCrashes {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(x, y *candidate) int { return y.compare(x) })
	return all, unsettled
}

// isAmongMany reports whether so many upstreams ended together with the i-th one that no
// request is the cause, such as when a VM loses its way to them. The crashes are in the order
// of their times.
func (b *Blame) isAmongMany(crashes []*crash, i int) bool {
	together := 0
	for _, c := range crashes {
		if (c.at - crashes[i].at).Abs() < b.opts.Separation {
			together++
		}
	}
	return together >= b.opts.ManyTogether
}

// addCrash adds a crash to the evidence against a key. explained reports whether a key that
// was found explains the crash, and amongMany whether many upstreams ended together.
func (b *Blame) addCrash(byKey map[Key]*candidate, key Key, s suspicion, c *crash, explained, amongMany bool) {
	a := byKey[key]
	if a == nil {
		_, onceSound := b.LastSound(key)
		a = &candidate{key: key, onceSound: onceSound}
		byKey[key] = a
	}
	separate := a.isSeparate(c, b.opts.Separation, amongMany)
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

// isSeparate reports whether a crash counts beside those before. Those of a whole request do,
// as it runs on one upstream at a time, unless many upstreams ended together.
func (a *candidate) isSeparate(c *crash, separation time.Duration, amongMany bool) bool {
	return a.key.Kind == WholeRequest && !amongMany || a.inAll == 0 || c.at >= a.countedAt+separation
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
func (b *Blame) strongest(all []*candidate) *candidate {
	for _, a := range all {
		if a.count >= b.needed(a, all) || b.isInvolvedTooOften(a) {
			return a
		}
	}
	return nil
}

// isInvolvedTooOften reports whether a key that no upstream is known to have survived was
// involved in so many crashes that it is found whatever explains them.
func (b *Blame) isInvolvedTooOften(a *candidate) bool {
	if a.key.Kind == WholeRequest {
		return !a.onceSound && a.inAll >= b.opts.RequestCrashesInAll
	}
	return !a.onceSound && a.shared && a.inAll >= b.opts.PartCrashesInAll
}

// hold adds the whole requests that are to be held back.
func (b *Blame) hold(all []*candidate, held map[Key]time.Duration) {
	for _, a := range all {
		if a.key.Kind == WholeRequest && a.count >= b.opts.HoldCrashes && !a.isOutweighed(all) {
			held[a.key] = a.crashes[len(a.crashes)-1].at + b.opts.HoldTime
		}
	}
}

// never is more crashes than any key explains.
const never = math.MaxInt

// needed returns the number of crashes that a key must explain to be found to cause them.
func (b *Blame) needed(a *candidate, all []*candidate) int {
	n := b.opts.Crashes
	if a.onceSound {
		n = b.opts.OnceSoundCrashes
	}
	switch {
	case a.isOutweighed(all):
		return never
	case a.key.Kind == PromptPart:
		return max(n, b.neededOfPart(a, all))
	}
	return n
}

// neededOfPart returns the number of crashes that a part of a prompt must explain beside
// other parts.
func (b *Blame) neededOfPart(a *candidate, all []*candidate) int {
	if !a.shared {
		return never
	}
	n := b.opts.Crashes
	if a.strong < b.opts.MinStrong {
		n = b.opts.WeakCrashes
	}
	for _, other := range all {
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
func (a *candidate) explains(o *candidate) bool {
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
func (a *candidate) isOutweighed(all []*candidate) bool {
	return slices.ContainsFunc(all, func(o *candidate) bool {
		return o.strong > a.strong && !o.onceSound && o.explains(a)
	})
}

// compare orders keys by how likely they are the cause: the one that explains more crashes,
// and these with stronger evidence, one that was never answered soundly, and one that fewer
// requests share.
func (a *candidate) compare(o *candidate) int {
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
func (a *candidate) verdict() Verdict {
	v := Verdict{Key: a.key}
	for _, c := range a.crashes {
		v.Evidence = append(v.Evidence, Evidence{Upstream: c.of.Upstream, At: c.at})
	}
	return v
}
