package pace

import (
	"math"
	"sync"
)

const (
	// lengthQuantile is the share of answers that end by the expected length with margin.
	lengthQuantile = 0.8
	// quantileMinStep and quantileFirstStep are the relative steps of tracked quantiles, as
	// for Usual.
	quantileMinStep   = 0.02
	quantileFirstStep = 0.8
	// lengthMinSamples is the number of answers of a route from which their lengths count as
	// known.
	lengthMinSamples = 5
	// maxHintMargin bounds the ratio of Length.Likely to Length.Median of an answer with a hint,
	// and unknownMargin is assumed while that ratio is not known.
	maxHintMargin = 3.0
	unknownMargin = 1.5
	// errorWeight is the weight of the newest answer in the mean errors.
	errorWeight = 0.05
	// maxRoutes bounds the number of routes kept.
	maxRoutes = 1024
	// exceededShare is the share of the events so far that an answer which exceeds its
	// expected length is expected to have left.
	exceededShare = 0.15
)

// quantile tracks a quantile of positive samples on a logarithmic scale.
type quantile struct {
	share   float64
	log     float64
	samples int
}

func (q *quantile) observe(value float64) {
	sample := math.Log(value)
	q.samples++
	if q.samples == 1 {
		q.log = sample
		return
	}
	step := max(quantileFirstStep/float64(q.samples), quantileMinStep)
	if sample > q.log {
		q.log += min(2*step*q.share, sample-q.log)
	} else {
		q.log -= min(2*step*(1-q.share), q.log-sample)
	}
}

func (q *quantile) value() float64 { return math.Exp(q.log) }

// Hint is what a caller says of the length of its answer, in tokens; zero if unknown.
type Hint struct {
	// Tokens is the caller's estimate, Max the bound that it sets.
	Tokens, Max int
}

// Length is the expected number of events of an answer; zero if unknown.
type Length struct {
	// Median is reached by half of the answers, and Likely by a fifth.
	Median, Likely float64
}

// Left returns the length that is left after a number of events. An answer that exceeds what
// was expected has a little left.
func (l Length) Left(events int) Length {
	if l.Median == 0 {
		return l
	}
	least := 1 + exceededShare*float64(events)
	return Length{Median: max(l.Median-float64(events), least), Likely: max(l.Likely-float64(events), least)}
}

// routeLengths is what is known of the answers of a route.
type routeLengths struct {
	// median and likely are the numbers of events, perEvent the median number of hinted
	// tokens for each event, and excess the ratio of the events to the expected ones that most
	// answers with a hint stay below.
	median, likely, perEvent, excess quantile
	// hintError and ownError are the mean squares of the logarithms by which hints, and the
	// route's median, were off.
	hintError, ownError float64
}

// known reports whether the lengths of the route's answers are known, and hinted whether hints
// can be converted to events as well.
func (r *routeLengths) known() bool  { return r.median.samples >= lengthMinSamples }
func (r *routeLengths) hinted() bool { return r.known() && r.perEvent.samples >= lengthMinSamples }

// expect returns the expected number of events of an answer with a hint: between the hint and
// the route's median, by how far each of them used to be off.
func (r *routeLengths) expect(tokens int) float64 {
	weight := 0.5
	if sum := r.hintError + r.ownError; sum > 0 {
		weight = r.ownError / sum
	}
	hint := math.Log(float64(tokens)) - r.perEvent.log
	return math.Exp(weight*hint + (1-weight)*r.median.log)
}

// observeErrors records by how much the hint and the route's median were off.
func (r *routeLengths) observeErrors(tokens, events int) {
	actual := math.Log(float64(events))
	hint := math.Log(float64(tokens)) - r.perEvent.log - actual
	own := r.median.log - actual
	r.hintError += errorWeight * (hint*hint - r.hintError)
	r.ownError += errorWeight * (own*own - r.ownError)
	r.excess.observe(float64(events) / r.expect(tokens))
}

// Lengths learns the lengths of answers by route. It is safe for concurrent use.
type Lengths struct {
	mu      sync.Mutex
	byRoute map[string]*routeLengths
}

// Observe records an answer that ended completely, with its number of events.
func (l *Lengths) Observe(route string, hint Hint, events int) {
	if events <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byRoute[route]
	if r == nil {
		if len(l.byRoute) >= maxRoutes {
			return
		}
		if l.byRoute == nil {
			l.byRoute = make(map[string]*routeLengths)
		}
		r = &routeLengths{
			median: quantile{share: 0.5}, likely: quantile{share: lengthQuantile},
			perEvent: quantile{share: 0.5}, excess: quantile{share: lengthQuantile},
		}
		l.byRoute[route] = r
	}
	if hint.Tokens > 0 {
		if r.hinted() {
			r.observeErrors(hint.Tokens, events)
		}
		r.perEvent.observe(float64(hint.Tokens) / float64(events))
	}
	r.median.observe(float64(events))
	r.likely.observe(float64(events))
}

// Expect returns the expected length of an answer: by the hint, if there is one, and the route's
// earlier answers.
func (l *Lengths) Expect(route string, hint Hint) Length {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byRoute[route]
	if r == nil || !r.known() {
		return Length{}
	}
	expected := Length{Median: r.median.value(), Likely: max(r.likely.value(), r.median.value())}
	if !r.hinted() {
		return expected
	}
	if hint.Tokens > 0 {
		events := max(r.expect(hint.Tokens), 1)
		margin := unknownMargin
		if r.excess.samples >= lengthMinSamples {
			margin = min(max(r.excess.value(), 1), maxHintMargin)
		}
		expected = Length{Median: events, Likely: events * margin}
	}
	if hint.Max > 0 {
		most := max(float64(hint.Max)/r.perEvent.value(), 1)
		expected.Median, expected.Likely = min(expected.Median, most), min(expected.Likely, most)
	}
	return expected
}
