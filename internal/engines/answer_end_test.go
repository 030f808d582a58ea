package engines_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// pacedFleet returns a directory with answer_end and n upstreams in each of two regions, of which
// this VM is in the first.
func pacedFleet(n int) (*engines.Directory, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	d := newPacedDirectory(clock, 0, 1, true)
	var entries []engines.Entry
	for i := range n {
		entries = append(entries, newEntry(fmt.Sprintf("a%02d", i), "d1"), newEntry(fmt.Sprintf("b%02d", i), "d2"))
	}
	d.Replace(entries)
	return d, clock
}

// streamOnAll runs a stream of the model on each upstream of the first region, with the gap that the
// upstream is given.
func streamOnAll(d *engines.Directory, clock *clockwork.FakeClock, n int, gap func(i int) time.Duration) {
	for i := range n {
		a := find(d, upstream.ID(fmt.Sprintf("a%02d", i))).Begin(0)
		a.MarkReceived()
		for range 31 {
			a.RecordEvents("large", 1, 0)
			clock.Advance(gap(i))
		}
		a.End(engines.Result{Took: time.Second})
	}
}

func isSlow(i int) bool { return i%3 == 0 }

func unevenGap(i int) time.Duration {
	if isSlow(i) {
		return 70 * time.Millisecond
	}
	return 30 * time.Millisecond
}

// chosenFor returns the upstreams that a model is sent to if each has the same little load.
func chosenFor(d *engines.Directory, small bool) map[upstream.ID]bool {
	chosen := make(map[upstream.ID]bool)
	for draw := range uint64(200) {
		chosen[chooseID(d, engines.Requirements{RouterPicksModel: true, SmallModel: small, Draw: draw, Bytes: 10_000})] = true
	}
	return chosen
}

func TestSmallModelsPreferSlowUpstreams(t *testing.T) {
	g := NewWithT(t)
	d, clock := pacedFleet(12)
	clock.Advance(time.Minute)
	byHash := chosenFor(d, true)
	g.Expect(byHash).To(HaveLen(3), "nothing is known: a quarter by hash")
	// The first streams tell nothing yet: what is usual is not known.
	for range 3 {
		streamOnAll(d, clock, 12, unevenGap)
	}
	small, large := chosenFor(d, true), chosenFor(d, false)
	others := 0
	for i := range 12 {
		id := upstream.ID(fmt.Sprintf("a%02d", i))
		if isSlow(i) {
			g.Expect(small[id]).To(BeTrue(), "%s", id)
		} else if small[id] {
			others++
		}
		g.Expect(large[id]).To(Equal(!isSlow(i) && !small[id]), "%s", id)
	}
	g.Expect(others).To(BeNumerically("<=", 2), "they make up for the slowness of the slow ones")
	clock.Advance(2 * time.Minute)
	g.Expect(chosenFor(d, true)).To(Equal(byHash), "what was learnt has faded")
}

// TestOpenSilenceCountsAgainstUpstream guards against an upstream whose streams have stopped and
// that looks as fast as before until they end.
func TestOpenSilenceCountsAgainstUpstream(t *testing.T) {
	g := NewWithT(t)
	d, clock := pacedFleet(2)
	streamOnAll(d, clock, 2, func(int) time.Duration { return 30 * time.Millisecond })
	stalled := find(d, "a00").Begin(0)
	stalled.MarkReceived()
	stalled.RecordEvents("large", 1, 0)
	clock.Advance(2 * time.Second)
	req := engines.Requirements{Service: "s", Bytes: 10_000, Answer: engines.AnswerShape{Model: "large", Events: 40, TimeLeft: 10 * time.Second, MaxPause: time.Second}}
	for draw := range uint64(20) {
		req.Draw = draw
		choice := d.Choose(req)
		g.Expect(choice.Engine.ID()).To(BeEquivalentTo("a01"))
		g.Expect(choice.AnswerEnd).To(BeNumerically("~", 1300*time.Millisecond, 300*time.Millisecond))
	}
}

// TestSlowdownReportCountsForAMoment guards against reports of a slow machine that outlive the
// slowness: they change many times a second.
func TestSlowdownReportCountsForAMoment(t *testing.T) {
	g := NewWithT(t)
	d, clock := pacedFleet(1)
	streamOnAll(d, clock, 1, func(int) time.Duration { return 30 * time.Millisecond })
	req := engines.Requirements{Service: "s", Tried: []upstream.ID{"b00"}, Answer: engines.AnswerShape{Model: "large", Events: 40, TimeLeft: 10 * time.Second}}
	usual := d.Choose(req).AnswerEnd
	find(d, "a00").UpdateLoad(route.Load{Capacity: 10, Slowdown: 2.5})
	g.Expect(d.Choose(req).AnswerEnd).To(BeNumerically(">", usual+400*time.Millisecond))
	clock.Advance(300 * time.Millisecond)
	g.Expect(d.Choose(req).AnswerEnd).To(BeNumerically("~", usual, 50*time.Millisecond))
}

// TestHomesAreInOwnRegionIfItIsLarge guards against long prompts that cross regions although the
// own region has caches enough.
func TestHomesAreInOwnRegionIfItIsLarge(t *testing.T) {
	g := NewWithT(t)
	abroad := func(n int) int {
		d, _ := pacedFleet(n)
		count := 0
		for part := uint64(1); part <= 40; part++ {
			id := chooseID(d, engines.Requirements{PrefixHash: part, SharedTokens: 5000, Bytes: 15_000})
			if id[0] == 'b' {
				count++
			}
		}
		return count
	}
	g.Expect(abroad(8)).To(BeZero())
	g.Expect(abroad(7)).To(BeNumerically(">", 8))
}

// TestLargePromptsAvoidFullMemory guards against prompts that an upstream rejects, or ends under,
// because its memory is full.
func TestLargePromptsAvoidFullMemory(t *testing.T) {
	g := NewWithT(t)
	d, _ := pacedFleet(2)
	held := find(d, "a00").Begin(0)
	held.MarkReceived()
	held.SetTokens(600_000)
	busy := find(d, "a01").Begin(0)
	busy.MarkReceived()
	find(d, "a01").Begin(0).MarkReceived()
	req := engines.Requirements{Service: "s", Bytes: 10_000, Answer: engines.AnswerShape{Tokens: 20_000, MemoryTokens: 634_866}}
	for draw := range uint64(20) {
		req.Draw = draw
		g.Expect(d.Choose(req).Engine.ID()).NotTo(BeEquivalentTo("a00"))
	}
	held.End(engines.Result{})
	g.Expect(d.Choose(req).Engine.ID()).To(BeEquivalentTo("a00"))
	req.Answer.MemoryTokens = 0
	g.Expect(d.Choose(req).Engine.ID()).To(BeEquivalentTo("a00"))
}

// BenchmarkChoose measures a choice among 60 upstreams.
func BenchmarkChoose(b *testing.B) {
	for _, answerEnd := range []bool{false, true} {
		b.Run(fmt.Sprintf("answer_end=%v", answerEnd), func(b *testing.B) {
			d, clock := pacedFleet(30)
			if !answerEnd {
				d = newDirectoryOf(clock, 0, 1)
				var entries []engines.Entry
				for i := range 60 {
					entries = append(entries, newEntry(fmt.Sprintf("a%02d", i), "d1"))
				}
				d.Replace(entries)
			}
			streamOnAll(d, clock, 30, unevenGap)
			req := engines.Requirements{
				Service: "s", RouterPicksModel: true, PrefixHash: 7, SharedTokens: 5000, Bytes: 15_000,
				Answer: engines.AnswerShape{Model: "large", Events: 40, TimeLeft: 10 * time.Second, MaxPause: time.Second, Tokens: 9000, MemoryTokens: 634_866},
			}
			b.ReportAllocs()
			for b.Loop() {
				req.Draw++
				d.Choose(req)
			}
		})
	}
}
