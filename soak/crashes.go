package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

const (
	// restartTime is the time from the crash of an upstream to the start of its successor.
	restartTime = time.Second
	// culpritsPerTen is how many of ten requests crash upstreams while a culprit is active.
	culpritsPerTen = 1
	// maxLateArrivals is the number of requests that crash upstreams and may reach them after
	// the bound.
	maxLateArrivals = 3
	// minSoundFraction is the fraction of the other requests that must not be kept out then.
	minSoundFraction = 0.9
)

// Numbers of crashes by which a culprit must be known: a part of prompts, or a request.
const (
	partKnownAfter    = 5
	requestKnownAfter = 3
)

// culprit makes requests crash the upstreams that run them: those with a part in their
// prompts, or one request that comes again and again.
type culprit struct {
	// part is the ID of the part; empty for a request, whose path is path.
	part, path string

	mu      sync.Mutex
	crashes []time.Time
}

// isCause reports whether a request that an upstream runs crashes it.
func (c *culprit) isCause(r *http.Request) bool {
	if c.part != "" {
		return standin.HasPromptPart(r, c.part)
	}
	return r.URL.Path == c.path
}

// knownAt returns when the culprit must be known, before the bound for this; false if it
// caused too few crashes.
func (c *culprit) knownAt() (time.Time, bool) {
	needed := requestKnownAfter
	if c.part != "" {
		needed = partKnownAfter
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < needed {
		return time.Time{}, false
	}
	return c.crashes[needed-1], true
}

func (c *culprit) recordCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}

// fill makes a request one that the culprit makes crash upstreams.
func (c *culprit) fill(x *exchange) {
	x.culprit, x.key = c, permanentKey
	if c.part != "" {
		x.kind, x.path = streamRequest, "/s/"+x.id
		x.promptParts = fmt.Sprintf("aa:50,%s:30,%s:20", c.part, x.id)
		return
	}
	x.kind, x.path, x.body = lookupRequest, c.path, "body of "+c.path
}

// activeCulprits returns the culprits whose requests come.
func (b *testbed) activeCulprits() []*culprit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*culprit(nil), b.active...)
}

// activate lets the requests of a culprit come until the returned function is called.
func (b *testbed) activate(c *culprit) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active = append(b.active, c)
	b.culprits = append(b.culprits, c)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		for i, active := range b.active {
			if active == c {
				b.active = append(b.active[:i:i], b.active[i+1:]...)
				return
			}
		}
	}
}

// crashFor reports whether a request crashes the upstream that runs it, and records that.
func (b *testbed) crashFor(r *http.Request) bool {
	b.mu.Lock()
	culprits := b.culprits
	b.mu.Unlock()
	for _, c := range culprits {
		if c.isCause(r) {
			c.recordCrash()
			return true
		}
	}
	return false
}

// restart removes an upstream that crashed, and starts another one in its place after
// restartTime, unless it was being removed.
func (b *testbed) restart(e *engine) {
	time.AfterFunc(restartTime, func() {
		b.mu.Lock()
		registered := b.registeredEngines[e.ID] != nil && !b.closed
		b.mu.Unlock()
		if !registered {
			return
		}
		b.removeEngine(e)
		if err := b.addEngine(e.Service, e.Version, domains[rand.IntN(len(domains))]); err != nil {
			b.addEngineErrors.Add(1)
		}
	})
}

// crashFaults are the kinds of faults in which requests crash upstreams. They are a list of
// their own, because the seeds of regressions depend on the number of faultKinds.
var crashFaults = []faultKind{{"part_crashes", (*injector).crashByPart}, {"request_crashes", (*injector).crashByRequest}}

func (f *injector) crashByPart(ctx context.Context, rng *rand.Rand) {
	f.crash(ctx, &culprit{part: fmt.Sprintf("%08x", rng.Uint32())})
}

func (f *injector) crashByRequest(ctx context.Context, rng *rand.Rand) {
	f.crash(ctx, &culprit{path: fmt.Sprintf("/l/deadly-%08x", rng.Uint32())})
}

// crash lets the requests of a culprit come until some time after it must be known. One
// culprit is active at a time.
func (f *injector) crash(ctx context.Context, c *culprit) {
	if !f.crashMu.TryLock() {
		return
	}
	defer f.crashMu.Unlock()
	defer f.bed.crashes.begin()()
	defer f.bed.activate(c)()
	for ctx.Err() == nil {
		sleep(ctx, phasePollInterval)
		if at, known := c.knownAt(); known && time.Since(at) > 2*(f.bounds.SettleTime+f.bounds.HostAllowance) {
			break
		}
	}
	sleep(ctx, restartTime)
}

// checkCulprits checks that requests that crash upstreams reach hardly any after the bound,
// and that others are not kept out for them.
func (c *checker) checkCulprits() {
	for _, culprit := range c.testbed.culprits {
		at, known := culprit.knownAt()
		if !known {
			continue
		}
		from := at.Add(c.bounds.SettleTime + c.bounds.HostAllowance)
		arrivals, others, keptOut := 0, 0, 0
		for _, x := range c.exchanges {
			switch {
			case x.sentAt.Before(from) || !c.undisturbed(x):
			case x.culprit == culprit:
				arrivals += len(c.runs[x.id])
			case x.culprit == nil:
				others++
				if x.response.Body == "quarantined\n" {
					keptOut++
				}
			}
		}
		if arrivals > maxLateArrivals {
			c.addViolation("requests with %s%s reached upstreams %d times after they must be known", culprit.part, culprit.path, arrivals)
		}
		if float64(keptOut) > (1-minSoundFraction)*float64(others) {
			c.addViolation("%d of %d other requests were kept out for %s%s", keptOut, others, culprit.part, culprit.path)
		}
	}
}

// crashBehaviour ends an upstream, streams after their header.
func crashBehaviour(isStream bool) standin.Behaviour {
	b := standin.Behaviour{Confidence: 90, Crash: true}
	if isStream {
		b.Events = streamEvents
	}
	return b
}
