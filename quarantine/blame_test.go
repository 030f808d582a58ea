package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/upstream"
)

// blameTest is a Blame with short names for what it is told.
type blameTest struct {
	*quarantine.Blame
	*WithT
	digester *quarantine.Digester
	crashes  int
}

func newBlameTest(t *testing.T) *blameTest {
	return &blameTest{Blame: quarantine.NewBlame(quarantine.DefaultOptions()), WithT: NewWithT(t), digester: quarantine.NewDigester("secret")}
}

func (c *blameTest) key(part string) quarantine.Key { return c.digester.Part(part) }

func (c *blameTest) keys(parts ...string) []quarantine.Key {
	var keys []quarantine.Key
	for _, p := range parts {
		keys = append(keys, c.key(p))
	}
	return keys
}

// crash reports the end of a new upstream under requests whose answer had begun, given by
// their parts.
func (c *blameTest) crash(at time.Duration, suspects ...[]string) quarantine.Incarnation {
	c.crashes++
	of := quarantine.Incarnation{Upstream: upstream.ID(fmt.Sprintf("e-%d", c.crashes))}
	c.report(of, at, true, suspects...)
	return of
}

func (c *blameTest) report(of quarantine.Incarnation, at time.Duration, begun bool, suspects ...[]string) {
	r := quarantine.Crash{Incarnation: of, At: at}
	for _, parts := range suspects {
		r.Suspects = append(r.Suspects, quarantine.Suspect{Keys: c.keys(parts...), Begun: begun})
	}
	c.RecordCrash(r)
}

// found returns the keys that are found by a time.
func (c *blameTest) found(at time.Duration) []quarantine.Key {
	var keys []quarantine.Key
	for _, v := range c.Decide(at).Found {
		keys = append(keys, v.Key)
	}
	return keys
}

const second = time.Second

func TestPartPresentInThreeCrashesIsFound(t *testing.T) {
	c := newBlameTest(t)
	c.crash(10*second, []string{"route", "x", "bad"}, []string{"route", "y"})
	c.crash(11*second, []string{"route", "z", "bad"})
	c.Expect(c.found(12 * second)).To(BeEmpty())
	c.crash(12*second, []string{"route", "y", "bad"}, []string{"route", "z"})
	for _, sound := range []string{"route", "x", "y", "z"} {
		c.RecordSound(c.key(sound), 12*second)
	}
	c.Expect(c.found(13 * second)).To(Equal(c.keys("bad")))
	c.Expect(c.found(14 * second)).To(BeEmpty())
}

func TestSoundAnswerAfterCrashClearsPart(t *testing.T) {
	c := newBlameTest(t)
	for i := range 9 {
		at := time.Duration(10+i) * second
		c.crash(at, []string{"shared"})
		if i%3 == 1 {
			c.RecordSound(c.key("shared"), at+second/2)
		}
	}
	c.Expect(c.found(20 * second)).To(BeEmpty())
}

func TestUpstreamsThatEndTogetherCountOnce(t *testing.T) {
	c := newBlameTest(t)
	for i := range 12 {
		c.crash(10*second+time.Duration(i)*4*time.Millisecond, []string{"session"})
	}
	c.Expect(c.found(20 * second)).To(BeEmpty())
}

// A VM that loses its way to upstreams loses all of its connections at once, and with them
// requests that came twice.
func TestRequestLostAtSeveralUpstreamsAtOnceIsNeitherFoundNorHeldBack(t *testing.T) {
	c := newBlameTest(t)
	for i := range 3 {
		c.crashUnder(10*second+time.Duration(2*i)*time.Millisecond, []string{"/lookup"}, "route")
	}
	d := c.Decide(11 * second)
	c.Expect(d.Found).To(BeEmpty())
	c.Expect(d.Held).To(BeEmpty())
}

func TestWaitingRequestIsNotSuspectedBesideOneWhoseAnswerHadBegun(t *testing.T) {
	c := newBlameTest(t)
	for i := range 3 {
		at := time.Duration(10+i) * second
		of := c.crash(at, []string{"bad"})
		c.report(of, at, false, []string{"waiting"})
	}
	c.Expect(c.found(20 * second)).To(Equal(c.keys("bad")))
}

func TestPartOnWhichNoAnswerHadBegunIsFoundAtTheSixthCrash(t *testing.T) {
	c := newBlameTest(t)
	crash := func(i int) {
		of := c.crash(time.Duration(10+i)*second, []string{fmt.Sprint("begun ", i)})
		c.report(of, time.Duration(10+i)*second, false, []string{"bad"})
	}
	for i := range 5 {
		crash(i)
	}
	c.Expect(c.found(15 * second)).To(BeEmpty())
	crash(5)
	c.Expect(c.found(20 * second)).To(Equal(c.keys("bad")))
}

func TestCrashExplainedByFoundPartIsNotHeldAgainstOthers(t *testing.T) {
	c := newBlameTest(t)
	for i := range 3 {
		c.crash(time.Duration(10+i)*second, []string{"bad"})
	}
	c.Expect(c.found(13 * second)).To(Equal(c.keys("bad")))
	for i := range 5 {
		c.crash(time.Duration(14+i)*second, []string{"bad"}, []string{"beside"})
	}
	c.Expect(c.found(30 * second)).To(BeEmpty())
}

func TestTwoPartsThatCrashUpstreamsAreBothFound(t *testing.T) {
	c := newBlameTest(t)
	for i := range 3 {
		c.crash(time.Duration(10+2*i)*second, []string{"bad"}, []string{"beside"})
		c.crash(time.Duration(11+2*i)*second, []string{"worse"})
	}
	c.RecordSound(c.key("beside"), 20*second)
	c.Expect(c.found(20 * second)).To(ConsistOf(c.keys("bad", "worse")))
}

func TestOfTwoPartsWithSameCrashesTheLaterOneIsFoundAtTheFourth(t *testing.T) {
	c := newBlameTest(t)
	for i := range 3 {
		c.crash(time.Duration(10+i)*second, []string{"route", "bad"})
	}
	c.Expect(c.found(13 * second)).To(BeEmpty())
	c.crash(14*second, []string{"route", "bad"})
	c.Expect(c.found(15 * second)).To(Equal(c.keys("bad")))
}

func TestPartThatWasAnsweredSoundlyBeforeNeedsMoreCrashes(t *testing.T) {
	c := newBlameTest(t)
	c.RecordSound(c.key("shared"), second)
	for i := range 4 {
		c.crash(time.Duration(10+i)*second, []string{"shared"})
	}
	c.Expect(c.found(14 * second)).To(BeEmpty())
	c.crash(15*second, []string{"shared"})
	c.Expect(c.found(16 * second)).To(Equal(c.keys("shared")))
}

func TestReportsOfOneCrashAreMergedInAnyOrderAndNumber(t *testing.T) {
	c := newBlameTest(t)
	of := c.crash(10*second, []string{"a"})
	for range 5 {
		c.report(of, 10*second+80*time.Millisecond, true, []string{"a"}, []string{"b"})
	}
	c.crash(11*second, []string{"b"})
	c.Expect(c.found(20 * second)).To(BeEmpty())
	c.crash(12*second, []string{"b"})
	c.Expect(c.found(20 * second)).To(Equal(c.keys("b")))
}

func TestCrashCountsOnceItIsSettled(t *testing.T) {
	c := newBlameTest(t)
	for i := range 3 {
		c.crash(time.Duration(10+i)*second, []string{"bad"})
	}
	d := c.Decide(12*second + 20*time.Millisecond)
	c.Expect(d.Found).To(BeEmpty())
	c.Expect(d.Unsettled).To(BeTrue())
	c.Expect(c.found(13 * second)).To(HaveLen(1))
}

func TestEvidenceIsBounded(t *testing.T) {
	c := newBlameTest(t)
	for i := range 1000 {
		var suspects [][]string
		for j := range 200 {
			suspects = append(suspects, []string{fmt.Sprint(i, j)})
		}
		c.crash(time.Duration(i)*second/10, suspects...)
	}
	crashes, suspects := c.Size()
	c.Expect(crashes).To(Equal(quarantine.DefaultOptions().MaxCrashes))
	c.Expect(suspects).To(Equal(crashes * quarantine.DefaultOptions().MaxSuspects))
}

func TestForgottenPartIsFoundAgainOnlyByNewCrashes(t *testing.T) {
	c := newBlameTest(t)
	for i := range 3 {
		c.crash(time.Duration(10+i)*second, []string{"bad"})
	}
	c.Expect(c.found(13 * second)).To(HaveLen(1))
	c.Forget(c.key("bad"))
	c.Expect(c.found(14 * second)).To(BeEmpty())
	for i := range 3 {
		c.crash(time.Duration(20+i)*second, []string{"bad"})
	}
	c.Expect(c.found(30 * second)).To(HaveLen(1))
}

// requestKey returns the key of a request with a path.
func (c *blameTest) requestKey(path string) quarantine.Key {
	return c.digester.Request(quarantine.Request{Method: "GET", Target: path})
}

// crashUnder reports the end of a new upstream under requests, given by their paths, with
// the parts of one prompt.
func (c *blameTest) crashUnder(at time.Duration, paths []string, parts ...string) {
	c.crashes++
	r := quarantine.Crash{Incarnation: quarantine.Incarnation{Upstream: upstream.ID(fmt.Sprintf("e-%d", c.crashes))}, At: at}
	for _, path := range paths {
		keys := append(c.keys(parts...), c.requestKey(path))
		r.Suspects = append(r.Suspects, quarantine.Suspect{Keys: keys, Begun: true})
	}
	c.RecordCrash(r)
}

func TestRequestPresentInThreeCrashesIsFoundAndItsPartsAreNot(t *testing.T) {
	c := newBlameTest(t)
	for i := range 5 {
		c.crashUnder(time.Duration(10+i)*second, []string{"/deadly"}, "route", "subject")
	}
	c.Expect(c.found(20 * second)).To(Equal([]quarantine.Key{c.requestKey("/deadly")}))
}

func TestPartIsFoundAlthoughARequestExplainsItsFirstCrashes(t *testing.T) {
	c := newBlameTest(t)
	for i := range 3 {
		c.crashUnder(time.Duration(10+i)*second, []string{"/first"}, "bad")
	}
	c.Expect(c.found(13 * second)).To(Equal([]quarantine.Key{c.requestKey("/first")}))
	c.crashUnder(14*second, []string{"/second"}, "bad")
	c.Expect(c.found(15 * second)).To(Equal(c.keys("bad")))
}

func TestRequestBesideOneThatCrashesUpstreamsIsNotFound(t *testing.T) {
	c := newBlameTest(t)
	c.crashUnder(10*second, []string{"/deadly", "/a", "/b"})
	c.crashUnder(11*second, []string{"/deadly", "/a", "/c"})
	c.crashUnder(12*second, []string{"/d", "/deadly"})
	c.Expect(c.found(13 * second)).To(Equal([]quarantine.Key{c.requestKey("/deadly")}))
	c.crashUnder(14*second, []string{"/deadly", "/a"})
	c.Expect(c.found(20 * second)).To(BeEmpty())
}

func TestRequestUnderWhichTwoUpstreamsEndedIsHeldBack(t *testing.T) {
	c := newBlameTest(t)
	c.crashUnder(10*second, []string{"/deadly"}, "route")
	c.Expect(c.Decide(11 * second).Held).To(BeEmpty())
	c.crashUnder(11*second, []string{"/deadly"}, "route")
	c.Expect(c.Decide(12 * second).Held).To(Equal(map[quarantine.Key]time.Duration{c.requestKey("/deadly"): 14 * second}))
	c.RecordSound(c.requestKey("/deadly"), 12*second)
	c.Expect(c.Decide(13 * second).Held).To(BeEmpty())
}

func TestManyRequestsDontMakePartsForgotten(t *testing.T) {
	c := newBlameTest(t)
	c.RecordSound(c.key("route"), 10*second)
	for i := range 20_000 {
		c.RecordSound(c.requestKey(fmt.Sprint(i)), 10*second)
	}
	c.Expect(c.WasSound(c.key("route"), 10*second)).To(BeTrue())
}

func TestWaitingRequestsDontCrowdOutTheOneWhoseAnswerHadBegun(t *testing.T) {
	c := newBlameTest(t)
	for i := range 3 {
		at := time.Duration(10+i) * second
		c.crashes++
		of := quarantine.Incarnation{Upstream: upstream.ID(fmt.Sprint(i))}
		for j := range 100 {
			c.report(of, at, false, []string{fmt.Sprint(i, j)})
		}
		c.report(of, at, true, []string{"bad"})
	}
	c.Expect(c.found(20 * second)).To(Equal(c.keys("bad")))
}

// A request may crash its upstream before its answer begins, beside others that had begun.
func TestRequestWhoseAnswerHadNotBegunIsFoundAtTheThirdCrash(t *testing.T) {
	c := newBlameTest(t)
	for i := range 3 {
		c.crashUnder(time.Duration(10+i)*second, []string{fmt.Sprint("/begun/", i)})
		waiting := quarantine.Suspect{Keys: []quarantine.Key{c.requestKey("/deadly")}}
		c.RecordCrash(quarantine.Crash{
			Incarnation: quarantine.Incarnation{Upstream: upstream.ID(fmt.Sprintf("e-%d", c.crashes))},
			At:          time.Duration(10+i) * second, Suspects: []quarantine.Suspect{waiting},
		})
	}
	c.Expect(c.found(20 * second)).To(Equal([]quarantine.Key{c.requestKey("/deadly")}))
}

func TestRequestsThatCantBeToldApartAreBothFound(t *testing.T) {
	c := newBlameTest(t)
	for i := range 3 {
		c.crashUnder(time.Duration(10+i)*second, []string{"/deadly", "/beside"})
	}
	c.Expect(c.found(20 * second)).To(ConsistOf(c.requestKey("/deadly"), c.requestKey("/beside")))
}

func TestUpstreamThatAnswersAfterItsReportedEndHasNotEnded(t *testing.T) {
	c := newBlameTest(t)
	for i := range 5 {
		at := time.Duration(10+i) * second
		of := c.crash(at, []string{"lost"})
		c.Expect(c.RecordAlive(of, at+20*time.Millisecond)).To(BeFalse())
		c.Expect(c.RecordAlive(of, at+second/2)).To(BeTrue())
		c.report(of, at, true, []string{"lost"})
	}
	c.Expect(c.found(20 * second)).To(BeEmpty())
}

func TestRequestIsFoundAtTheFifthCrashWhateverExplainsThem(t *testing.T) {
	c := newBlameTest(t)
	for i := range 3 {
		c.crash(time.Duration(10+i)*second, []string{"bad"})
	}
	c.Expect(c.found(13 * second)).To(Equal(c.keys("bad")))
	for i := range 5 {
		at := time.Duration(20+i) * second
		c.crashUnder(at, []string{"/deadly"})
		of := quarantine.Incarnation{Upstream: upstream.ID(fmt.Sprintf("e-%d", c.crashes))}
		c.report(of, at, true, []string{"bad"})
		c.Expect(c.found(at + second/2)).To(HaveLen(i / 4))
	}
}

// Reports reach the VMs in different orders, some of them twice; all decide alike.
func TestDecisionDependsOnNoOrderOfReports(t *testing.T) {
	digester := quarantine.NewDigester("secret")
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		var reports []func(*quarantine.Blame)
		for i := range rapid.IntRange(1, 8).Draw(t, "crashes") {
			of := quarantine.Incarnation{Upstream: upstream.ID(fmt.Sprint(i))}
			at := time.Duration(rapid.IntRange(100, 200).Draw(t, "at")) * 100 * time.Millisecond
			for range rapid.IntRange(1, 3).Draw(t, "reports") {
				s := quarantine.Suspect{Begun: rapid.Bool().Draw(t, "begun")}
				for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 3, rapid.ID).Draw(t, "parts") {
					s.Keys = append(s.Keys, digester.Part(name))
				}
				path := rapid.SampledFrom([]string{"/x", "/y", "/z"}).Draw(t, "path")
				s.Keys = append(s.Keys, digester.Request(quarantine.Request{Target: path}))
				reports = append(reports, func(b *quarantine.Blame) {
					b.RecordCrash(quarantine.Crash{Incarnation: of, At: at, Suspects: []quarantine.Suspect{s}})
				})
			}
			if rapid.IntRange(0, 4).Draw(t, "alive") == 0 {
				reports = append(reports, func(b *quarantine.Blame) { b.ReportAlive(of, at+second) })
			}
		}
		for range rapid.IntRange(0, 4).Draw(t, "sound") {
			key := digester.Part(rapid.SampledFrom(names).Draw(t, "part"))
			at := time.Duration(rapid.IntRange(50, 200).Draw(t, "sound at")) * 100 * time.Millisecond
			reports = append(reports, func(b *quarantine.Blame) { b.RecordSound(key, at) })
		}
		decide := func(order []int) string {
			b := quarantine.NewBlame(quarantine.DefaultOptions())
			for _, i := range order {
				reports[i](b)
			}
			return fmt.Sprint(b.Decide(30 * second))
		}
		forwards := indices(len(reports))
		shuffled := rapid.Permutation(append(indices(len(reports)), rapid.IntRange(0, len(reports)-1).Draw(t, "twice"))).Draw(t, "order")
		if one, other := decide(forwards), decide(shuffled); one != other {
			t.Fatalf("%v and %v", one, other)
		}
	})
}
