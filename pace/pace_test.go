package pace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/pace"
	"github.com/poplarshore/poplarshore/upstream"
)

// start is an arbitrary time.
var start = time.Unix(1_000_000, 0)

// TestUsualGapIsThatOfMostUpstreams guards against a usual gap that follows the slow third of
// the upstreams, or single long pauses.
func TestUsualGapIsThatOfMostUpstreams(t *testing.T) {
	g := NewWithT(t)
	var u pace.Usual
	_, known := u.Gap()
	g.Expect(known).To(BeFalse())
	rng := rand.New(rand.NewPCG(1, 1))
	for range 3000 {
		gap := time.Duration((0.9 + 0.2*rng.Float64()) * float64(40*time.Millisecond))
		switch draw := rng.Float64(); {
		case draw < 0.05:
			gap = 3 * time.Second
		case draw < 0.35:
			gap *= 3
		}
		u.Observe(gap)
	}
	gap, known := u.Gap()
	g.Expect(known).To(BeTrue())
	g.Expect(gap).To(BeNumerically("~", 41*time.Millisecond, 5*time.Millisecond))
}

func TestFactorFollowsSlowStreamWhileItRuns(t *testing.T) {
	g := NewWithT(t)
	var f pace.Factor
	now := start
	for range 50 {
		now = now.Add(50 * time.Millisecond)
		f.Observe(1, 1, now)
	}
	g.Expect(f.Value(now)).To(BeNumerically("~", 1, 0.01))
	for range 6 {
		now = now.Add(500 * time.Millisecond)
		f.Observe(10, 1, now)
	}
	g.Expect(f.Value(now)).To(BeNumerically(">", 3), "after six gaps, 3 s")
	g.Expect(f.Value(now.Add(12 * time.Second))).To(BeNumerically("<", 2.5))
	g.Expect(f.Value(now.Add(time.Minute))).To(BeNumerically("~", 1, 0.05), "it fades")
}

// TestOneOutlierDecidesNothing guards against one pause of 100 gaps that makes an upstream look
// slow.
func TestOneOutlierDecidesNothing(t *testing.T) {
	g := NewWithT(t)
	var f pace.Factor
	f.Observe(100, 1, start)
	g.Expect(f.Value(start)).To(BeNumerically("<", 2))
	var known pace.Factor
	for range 20 {
		known.Observe(1, 1, start)
	}
	known.Observe(100, 1, start)
	g.Expect(known.Value(start)).To(BeNumerically("<", 1.4))
}

func TestOpenGapCountsBeforeItEnds(t *testing.T) {
	g := NewWithT(t)
	var f pace.Factor
	g.Expect(f.ValueWith(start, []float64{0.5})).To(BeNumerically("==", 1), "a short gap says nothing")
	g.Expect(f.ValueWith(start, []float64{20})).To(BeNumerically(">", 2))
	g.Expect(f.Value(start)).To(BeNumerically("==", 1), "the gap has not been recorded")
}

func TestLengthFollowsHintWithMargin(t *testing.T) {
	g := NewWithT(t)
	var l pace.Lengths
	g.Expect(l.Expect("r", pace.Hint{Tokens: 270})).To(Equal(pace.Length{}), "nothing is known")
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		// Answers of 10 to 50 events with 9 tokens each; hints off by up to a factor of 2.
		events := 10 + rng.IntN(41)
		off := 0.5 + 1.5*rng.Float64()
		l.Observe("r", pace.Hint{Tokens: int(float64(events) * 9 * off)}, events)
	}
	hinted := l.Expect("r", pace.Hint{Tokens: 270})
	g.Expect(hinted.Median).To(BeNumerically("~", 30, 12))
	g.Expect(hinted.Likely).To(BeNumerically(">", 1.2*hinted.Median))
	plain := l.Expect("r", pace.Hint{})
	g.Expect(plain.Median).To(BeNumerically("~", 30, 6))
	g.Expect(plain.Likely).To(BeNumerically("~", 42, 6))
	g.Expect(l.Expect("r", pace.Hint{Tokens: 270, Max: 90}).Likely).To(BeNumerically("<", 15))
	g.Expect(l.Expect("other", pace.Hint{Tokens: 270})).To(Equal(pace.Length{}))
}

// TestHintsThatAreFarOffCountLittle guards against streams that are called hopeless because their
// caller said far too much.
func TestHintsThatAreFarOffCountLittle(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 5))
	var wild, exact pace.Lengths
	for range 300 {
		wild.Observe("r", pace.Hint{Tokens: int(288 * math.Exp(rng.NormFloat64()))}, 30+rng.IntN(5))
		events := 5 + rng.IntN(80)
		exact.Observe("r", pace.Hint{Tokens: 9 * events}, events)
	}
	g.Expect(wild.Expect("r", pace.Hint{Tokens: 2000}).Median).To(BeNumerically("~", 32, 4))
	g.Expect(wild.Expect("r", pace.Hint{Tokens: 2000}).Likely).To(BeNumerically("<", 45))
	g.Expect(exact.Expect("r", pace.Hint{Tokens: 720}).Median).To(BeNumerically("~", 80, 8))
	g.Expect(exact.Expect("r", pace.Hint{Tokens: 720}).Likely).To(BeNumerically("<", 100))
}

func TestExceededLengthHasALittleLeft(t *testing.T) {
	g := NewWithT(t)
	length := pace.Length{Median: 30, Likely: 40}
	g.Expect(length.Left(10)).To(Equal(pace.Length{Median: 20, Likely: 30}))
	g.Expect(length.Left(60)).To(Equal(pace.Length{Median: 10, Likely: 10}))
	g.Expect(pace.Length{}.Left(60)).To(Equal(pace.Length{}))
}

// TestStreamsOfTheMeasuredDay replays streams that were cut at their deadline, as they were
// measured, and one that ended in time.
func TestStreamsOfTheMeasuredDay(t *testing.T) {
	g := NewWithT(t)
	left := pace.Length{Median: 26, Likely: 34}
	slow := pace.Stream{Events: 5, Running: 4 * time.Second, TimeLeft: 10 * time.Second, Left: left}
	g.Expect(slow.Hopeless()).To(BeTrue())
	g.Expect(slow.Pays(pace.Elsewhere{End: 3 * time.Second, Utilization: 0.5})).To(BeTrue())
	g.Expect(slow.Pays(pace.Elsewhere{End: 9 * time.Second, Utilization: 0.5})).To(BeFalse(), "it would be too late there")
	g.Expect(slow.Pays(pace.Elsewhere{End: 3 * time.Second, Utilization: 1})).To(BeFalse(), "the upstream is full")
	g.Expect(slow.Pays(pace.Elsewhere{})).To(BeFalse(), "nothing is known")
	fast := pace.Stream{Events: 5, Running: 250 * time.Millisecond, TimeLeft: 14 * time.Second, Left: left}
	g.Expect(fast.Hopeless()).To(BeFalse())
	silent := pace.Stream{Events: 2, Running: 3 * time.Second, Silence: 2900 * time.Millisecond, TimeLeft: 11 * time.Second, Left: left}
	g.Expect(silent.Hopeless()).To(BeTrue(), "nothing came for 2.9 s")
	young := pace.Stream{Events: 2, Running: 900 * time.Millisecond, TimeLeft: 14 * time.Second, Left: left}
	g.Expect(young.Hopeless()).To(BeFalse(), "two events say too little")
	unknown := slow
	unknown.Left = pace.Length{}
	g.Expect(unknown.Hopeless()).To(BeFalse())
}

// speeds returns 20 upstreams of which every third is slow, with measured factors that vary.
func speeds(rng *rand.Rand, slow, fast, weight float64) []pace.Speed {
	all := make([]pace.Speed, 20)
	for i := range all {
		factor := fast
		if i%3 == 0 {
			factor = slow
		}
		all[i] = pace.Speed{Upstream: upstream.ID(fmt.Sprintf("u%02d", i)), Factor: factor * (0.85 + 0.3*rng.Float64()), Weight: weight}
	}
	return all
}

// TestDivisionIsStableAndAlikeOnAllVMs guards against pools that flap with each sample, and
// against VMs that put different upstreams into them.
func TestDivisionIsStableAndAlikeOnAllVMs(t *testing.T) {
	g := NewWithT(t)
	var first map[upstream.ID]bool
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var d pace.Division
		for range 50 {
			d.Update(speeds(rng, 1.7, 0.7, 30), 0.25)
			g.Expect(d.Slow).To(HaveLen(7))
			g.Expect(d.Extra).To(BeNumerically("~", 1, 1), "7 slow ones have 18% of the speed of all")
			if first == nil {
				first = d.Slow
			}
			g.Expect(d.Slow).To(Equal(first))
		}
	}
}

func TestDivisionNeedsClearDifferenceAndSamples(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 4))
	var d pace.Division
	d.Update(speeds(rng, 1.1, 1, 30), 0.25)
	g.Expect(d.Slow).To(BeEmpty(), "the upstreams are alike")
	d.Update(speeds(rng, 1.7, 0.7, 2), 0.25)
	g.Expect(d.Slow).To(BeEmpty(), "too little is known")
	d.Update(speeds(rng, 1.7, 0.7, 30), 0.25)
	g.Expect(d.Slow).To(HaveLen(7))
	d.Update(speeds(rng, 1.3, 0.9, 30), 0.25)
	g.Expect(d.Slow).To(HaveLen(7), "a smaller difference suffices to go on")
	d.Update(speeds(rng, 1, 1, 30), 0.25)
	g.Expect(d.Slow).To(BeEmpty())
	d.Update(speeds(rng, 1.7, 0.7, 30)[:3], 0.25)
	g.Expect(d.Slow).To(BeEmpty(), "three upstreams are not divided")
}

// TestDelayFollowsLateStartsAndFades guards against upstreams whose queue is full of requests of
// others, and that look idle because nothing is reported of them.
func TestDelayFollowsLateStartsAndFades(t *testing.T) {
	g := NewWithT(t)
	var d pace.Delay
	g.Expect(d.Value(start)).To(BeZero())
	d.Observe(-time.Second, start)
	g.Expect(d.Value(start)).To(BeZero())
	d.Observe(2*time.Second, start)
	g.Expect(d.Value(start)).To(Equal(time.Second), "one late start counts by half")
	d.Observe(2*time.Second, start)
	g.Expect(d.Value(start)).To(Equal(1500 * time.Millisecond))
	g.Expect(d.Value(start.Add(12 * time.Second))).To(BeNumerically("<", 200*time.Millisecond))
	d.Observe(0, start)
	g.Expect(d.Value(start)).To(Equal(750 * time.Millisecond))
}
