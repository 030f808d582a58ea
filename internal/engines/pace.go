package engines

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/pace"
	"github.com/poplarshore/poplarshore/route"
)

// AnswerShape describes the answer that is expected to a request. The zero value leaves the
// end of the answer out of account.
type AnswerShape struct {
	// Model is the model that answers.
	Model model.Name
	// Events is the expected number of events that are left; zero if unknown.
	Events float64
	// Work is how long an upstream of usual speed is expected to process the prompt.
	Work time.Duration
	// TimeLeft is the time to the deadline, and MaxPause the longest pause between events of an
	// answer in time; zero for none.
	TimeLeft, MaxPause time.Duration
	// Tokens is the memory that the request takes on the upstream, and MemoryTokens the memory
	// of one upstream, both in tokens; zero if unknown.
	Tokens, MemoryTokens int
}

const (
	// slowdownTTL is how long a reported slowdown is used: it changes many times a second.
	slowdownTTL = 300 * time.Millisecond
	// loadMemory is how long a reported number of requests is used to tell the load from the
	// speed of an upstream. Gaps are compared under the same load, so this may be longer than
	// reportTTL.
	loadMemory = 10 * time.Second
	// maxWorkFactor is the largest ratio of the expected time to process a prompt to the usual
	// one: gaps between events vary more than that.
	maxWorkFactor = 3
	// lastingHalfLife, and lastingMaxWeight in gaps, are those of the estimate by which upstreams
	// are divided between small and large models. It outlasts short loads.
	lastingHalfLife  = 20 * time.Second
	lastingMaxWeight = 100
	// maxOpenGaps is the number of running streams of an upstream whose open gap is looked at.
	maxOpenGaps = 8
	// slowCallerWait is the time for which a caller may block a stream before the next gap no
	// longer counts for the upstream.
	slowCallerWait = 20 * time.Millisecond
)

// enginePace is what is known of the pace of one upstream. It is guarded by the engine's mu.
type enginePace struct {
	// recent is the ratio of the time between events to the usual one over the last gaps, and
	// lasting that over a longer time, by this VM's own streams.
	recent, lasting pace.Factor
	// delay is by how much later answers begin than this VM's own requests explain.
	delay pace.Delay
	// shared is what other VMs found of lasting.
	shared pace.Shared
	// meanLoad is the smoothed number of requests of other senders, and meanLoadAt the time of
	// the newest report in it; zero before the first report.
	meanLoad   float64
	meanLoadAt time.Time
	// ownReportAt is when the upstream last reported its load to this VM itself.
	ownReportAt time.Time
	// streams are this VM's streams that have begun.
	streams []*stream
	// tokens is the memory that this VM's requests take.
	tokens int
}

// stream is an answer in progress as its engine sees it. It is guarded by the engine's mu.
type stream struct {
	usual *pace.Usual
	// lastAt is when the newest event came.
	lastAt time.Time
	// held reports whether the caller held up the stream since then.
	held bool
}

// servicePace is what is known of the pace of a service's upstreams together.
type servicePace struct {
	models pace.Models
	// meanTokens is the smoothed memory of a request, in tokens, as the bits of a float64.
	meanTokens atomic.Uint64
	// pool is the division of the upstreams between small and large models.
	pool pacePool
}

// paceOf returns what is known of the pace of a service's upstreams.
func (d *Directory) paceOf(service string) *servicePace {
	d.paceMu.RLock()
	p := d.paces[service]
	d.paceMu.RUnlock()
	if p != nil {
		return p
	}
	d.paceMu.Lock()
	defer d.paceMu.Unlock()
	if p = d.paces[service]; p == nil {
		p = &servicePace{}
		d.paces[service] = p
	}
	return p
}

// observeTokens records the memory of a request, in tokens. A sample that another one
// overwrites at the same time is lost.
func (p *servicePace) observeTokens(tokens int) {
	mean := math.Float64frombits(p.meanTokens.Load())
	if mean == 0 {
		mean = float64(tokens)
	}
	p.meanTokens.Store(math.Float64bits(mean + ewmaWeight*(float64(tokens)-mean)))
}

// SetTokens records the memory that the request takes on the upstream, in tokens.
func (a *Attempt) SetTokens(tokens int) {
	e := a.engine
	if !e.directory.opts.AnswerEnd || tokens <= 0 {
		return
	}
	e.directory.paceOf(e.entry().Service).observeTokens(tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pace.tokens += tokens - a.tokens
	a.tokens = tokens
}

// RecordEvents records that n events of a stream arrived together, in an answer of the model.
// forwarding is how long it took to pass them on to the caller.
func (a *Attempt) RecordEvents(name model.Name, n int, forwarding time.Duration) {
	e := a.engine
	if !e.directory.opts.AnswerEnd || n <= 0 {
		return
	}
	now := e.directory.clock.Now()
	arrived := now.Add(-forwarding)
	if a.stream == nil {
		usual := e.directory.paceOf(e.entry().Service).models.Of(name)
		if usual == nil {
			return
		}
		a.stream = &stream{usual: usual, lastAt: arrived, held: forwarding >= slowCallerWait}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.pace.streams = append(e.pace.streams, a.stream)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if gap := arrived.Sub(a.stream.lastAt); !a.stream.held && gap > 0 {
		e.observeGap(a.stream.usual, gap/time.Duration(n), n, arrived)
	}
	a.stream.lastAt, a.stream.held = arrived, forwarding >= slowCallerWait
}

// observeDelay records by how much later than its work explains an answer begins. The caller
// holds mu.
func (e *Engine) observeDelay(a *Attempt, now time.Time) {
	if e.directory.opts.AnswerEnd && a.work > 0 {
		e.pace.delay.Observe(now.Sub(a.startedAt)-a.work, now)
	}
}

// scaleWork returns how long the upstream is expected to process a prompt that takes the given
// time on one of usual speed. The caller holds mu.
func (e *Engine) scaleWork(work time.Duration, now time.Time) time.Duration {
	if !e.directory.opts.AnswerEnd {
		return work
	}
	return time.Duration(float64(work) * min(e.paceFactor(now), maxWorkFactor))
}

// observeGap records the mean gap of n events. The caller holds mu, as for the following
// methods.
func (e *Engine) observeGap(usual *pace.Usual, gap time.Duration, n int, now time.Time) {
	load := e.loadFactor(now, 0) * e.slowdown(now)
	lasting := e.lastingSpeed(now)
	usual.Observe(time.Duration(float64(gap) / load / lasting))
	if base, known := usual.Gap(); known {
		ratio := float64(gap) / load / float64(base)
		e.pace.recent.Prior = lasting
		e.pace.recent.Observe(ratio, n, now)
		e.pace.lasting.Observe(ratio, n, now)
	}
}

// loadFactor returns how much longer an event takes with the requests that are known to be on
// the upstream, and added ones, than on an idle upstream.
func (e *Engine) loadFactor(now time.Time, added int) float64 {
	capacity := e.entry().Capacity
	if capacity <= 0 {
		return 1
	}
	requests := e.inFlight + added + e.othersRequests(now, loadMemory)
	return 1 + e.directory.opts.Placement.BatchSlope*min(float64(requests)/float64(capacity), 1)
}

// slowdown returns how much longer work takes on the upstream's machine now, by its report; 1
// if that is not known.
func (e *Engine) slowdown(now time.Time) float64 {
	if e.report.Slowdown <= 0 || now.Sub(e.pace.ownReportAt) >= slowdownTTL {
		return 1
	}
	return e.report.Slowdown
}

// paceFactor returns how much longer than usual the upstream takes for an event now, beside its
// load: its lasting speed, corrected by recent gaps and the silence of streams that run.
func (e *Engine) paceFactor(now time.Time) float64 {
	e.pace.recent.Prior = e.lastingSpeed(now)
	if len(e.pace.streams) == 0 {
		return e.pace.recent.Value(now)
	}
	var buffer [maxOpenGaps]float64
	open := buffer[:0]
	load := e.loadFactor(now, 0)
	for _, s := range e.pace.streams[:min(len(e.pace.streams), maxOpenGaps)] {
		if base, known := s.usual.Gap(); known && !s.held {
			open = append(open, float64(now.Sub(s.lastAt))/float64(base)/load)
		}
	}
	return e.pace.recent.ValueWith(now, open)
}

// queueWait returns how long a further request waits for one of the upstream's places.
func (e *Engine) queueWait(now time.Time) time.Duration {
	capacity := e.entry().Capacity
	requests := e.inFlight + e.othersRequests(now, reportTTL)
	if capacity <= 0 || requests < capacity {
		return 0
	}
	occupied := e.serviceTime
	if occupied == 0 {
		occupied = e.directory.opts.Placement.DefaultServiceTime
	}
	return time.Duration(float64(occupied) * float64(requests+1-capacity) / float64(capacity))
}

// expectAnswers fills in when the answer is expected to end on each candidate.
func (d *Directory) expectAnswers(r *route.Request, candidates route.Slice, engines []*Engine, shape *AnswerShape, now time.Time) {
	if !d.opts.AnswerEnd || shape.Events <= 0 && shape.MemoryTokens <= 0 {
		return
	}
	known := d.paceOf(r.Service)
	usual := time.Duration(0)
	if shape.Events > 0 {
		if u := known.models.Of(shape.Model); u != nil {
			usual, _ = u.Gap()
		}
	}
	meanTokens := math.Float64frombits(known.meanTokens.Load())
	r.TimeLeft, r.MaxPause = shape.TimeLeft, shape.MaxPause
	for i, e := range engines {
		c := &candidates[i]
		e.fillAnswer(c, shape, usual, meanTokens, now)
		if c.AnswerTime > 0 && (r.FastestAnswer == 0 || c.AnswerTime < r.FastestAnswer) {
			r.FastestAnswer = c.AnswerTime
		}
	}
}

// fillAnswer fills in when the answer is expected to end on the upstream. usual is the usual
// gap of the model, and meanTokens the mean memory of a request. What is unknown stays zero.
func (e *Engine) fillAnswer(c *route.Candidate, shape *AnswerShape, usual time.Duration, meanTokens float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wait := e.expectedWait(now)
	if late := e.pace.delay.Value(now); late > wait {
		c.FirstToken += late - wait
		wait = late
	}
	if usual > 0 {
		factor := e.paceFactor(now)
		c.EventGap = time.Duration(float64(usual) * factor * e.loadFactor(now, 1))
		c.AnswerTime = time.Duration(shape.Events * float64(c.EventGap))
		work := float64(shape.Work) * min(factor, maxWorkFactor)
		c.FirstToken += time.Duration(work) - shape.Work
		// A reported slowdown is expected to last for slowdownTTL only.
		delay := max(e.slowdown(now)-1, 0) * float64(slowdownTTL)
		c.AnswerEnd = max(wait, e.queueWait(now)) + 2*c.LinkLatency + time.Duration(work+delay) + c.AnswerTime
	}
	if shape.MemoryTokens > 0 {
		used := float64(e.pace.tokens+shape.Tokens) + float64(e.othersRequests(now, reportTTL))*meanTokens
		c.MemoryUse = used / float64(shape.MemoryTokens)
	}
}

// endStream removes the memory and the stream of an attempt that has ended. The caller holds mu.
func (e *Engine) endStream(a *Attempt) {
	e.pace.tokens -= a.tokens
	a.tokens = 0
	if i := slices.Index(e.pace.streams, a.stream); i >= 0 {
		e.pace.streams = slices.Delete(e.pace.streams, i, i+1)
	}
}

// minRegionHomes is the number of usable upstreams of a region from which its shared prompts
// have homes of their own. With fewer, the prompts of all routes would share too few caches.
const minRegionHomes = 8

// hasOwnHomes reports whether this VM's region holds enough upstreams for its shared prompts.
func (d *Directory) hasOwnHomes(usable []*Engine) bool {
	if !d.opts.AnswerEnd {
		return false
	}
	n := 0
	for _, e := range usable {
		if !e.Leaving() && d.opts.RegionOf(e.entry().Domain) == d.opts.Region {
			n++
		}
	}
	return n >= minRegionHomes
}
