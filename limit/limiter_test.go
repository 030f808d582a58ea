package limit_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/vm"
)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	RunSpecs(t, "limit")
}

var start = time.Unix(1_800_000_000, 0)

func refused(err error) *refusal.Refusal {
	var r *refusal.Refusal
	ExpectWithOffset(1, errors.As(err, &r)).To(BeTrue())
	return r
}

// options have a burst of one second.
func options(id vm.ID) limit.Options {
	o := limit.DefaultOptions(id, "x")
	o.Burst = time.Second
	return o
}

var _ = Describe("Limiter", func() {
	lone := func() *limit.Limiter { return limit.New(options("v1")) }

	It("holds one VM to each limit and says when to come back", func() {
		l := lone()
		rate := contract.Limits{RequestsPerSecond: 10}
		for range 10 {
			_, err := l.Admit("a", rate, limit.Estimate{}, start)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := l.Admit("a", rate, limit.Estimate{}, start)
		Expect(refused(err).Reason).To(Equal(refusal.LimitRequests))
		back := start.Add(refused(err).RetryAfter)
		_, err = l.Admit("a", rate, limit.Estimate{}, back)
		Expect(err).NotTo(HaveOccurred())

		slots := contract.Limits{Concurrency: 1}
		t, err := l.Admit("b", slots, limit.Estimate{}, start)
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Admit("b", slots, limit.Estimate{}, start)
		Expect(refused(err).Reason).To(Equal(refusal.LimitConcurrency))
		t.Settle(0, start)
		t.Settle(0, start)
		_, err = l.Admit("b", slots, limit.Estimate{}, start)
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Admit("b", slots, limit.Estimate{}, start)
		Expect(refused(err).RetryAfter).To(BeNumerically(">", 0))
	})

	It("charges tokens by estimate and settles what was used", func() {
		l, rate := lone(), contract.Limits{TokensPerSecond: 100}
		t, err := l.Admit("a", rate, limit.Estimate{Tokens: 100}, start)
		Expect(err).NotTo(HaveOccurred())
		t.Settle(20, start)
		big, err := l.Admit("a", rate, limit.Estimate{Tokens: 80}, start)
		Expect(err).NotTo(HaveOccurred())
		big.Settle(280, start)
		_, err = l.Admit("a", rate, limit.Estimate{Tokens: 1}, start.Add(1900*time.Millisecond))
		Expect(refused(err).Reason).To(Equal(refusal.LimitTokens))
		_, err = l.Admit("a", rate, limit.Estimate{Tokens: 5000}, start.Add(3*time.Second))
		Expect(err).NotTo(HaveOccurred(), "more than the burst runs when the bucket is full")
	})

	It("lets an account without limits pass, and begins to count when it gets some", func() {
		l := lone()
		for range 1000 {
			_, err := l.Admit("a", contract.Limits{}, limit.Estimate{Tokens: 1e6}, start)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := l.Admit("a", contract.Limits{RequestsPerSecond: 1, TokensPerSecond: 10}, limit.Estimate{Tokens: 1}, start)
		Expect(err).NotTo(HaveOccurred())
	})

	It("moves the share to where the demand is, and drops stray reports", func() {
		f := newFleet(4, nil)
		f.run(20*time.Second, func(i int) int { return map[bool]int{true: 40}[i == 0] })
		// A demand of 1 against three floors of 0.3 / 4.
		Expect(f.vms[0].Share("a", f.now)).To(BeNumerically("~", 1/1.225, 1e-6))
		Expect(f.vms[1].Share("a", f.now)).To(BeNumerically("~", 0.075/1.225, 1e-6))
		old := limit.Report{VM: "vm1", Incarnation: "x", Seq: 1}
		Expect(f.vms[0].Observe(old, f.now)).To(BeFalse())
		Expect(f.vms[0].Observe(limit.Report{VM: "stranger"}, f.now)).To(BeFalse())
	})

	It("lets a VM that starts anew serve its part of an account that is within its limit", func() {
		f := newFleet(4, nil)
		demand := func(int) int { return 3 }
		f.run(20*time.Second, demand)
		f.restart(0)
		before := f.admitted
		f.run(20*time.Second, demand)
		Expect(f.admitted - before).To(BeNumerically(">=", 240*99/100))
	})

	It("gives each side of a split its even part, and a lone VM no more", func() {
		f := newFleet(4, nil)
		demand := func(int) int { return 40 }
		f.run(20*time.Second, demand)
		f.apart = func(a, b int) bool { return (a == 0) != (b == 0) }
		f.run(20*time.Second, demand)
		Expect(f.vms[0].Share("a", f.now)).To(BeNumerically("~", 0.25, 1e-9))
		Expect(f.shares()).To(BeNumerically("~", 1, 1e-6))
		f.apart = nil
		f.run(20*time.Second, demand)
		Expect(f.shares()).To(BeNumerically("~", 1, 1e-6))
	})

	It("never holds more than the limit in sum while VMs hear each other or are split cleanly", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(2, 7).Draw(t, "vms"), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
			for range rapid.IntRange(1, 4).Draw(t, "phases") {
				cut := rapid.IntRange(0, len(f.vms)).Draw(t, "cut")
				f.apart = func(a, b int) bool { return (a < cut) != (b < cut) }
				busy := rapid.SliceOfN(rapid.IntRange(0, 60), len(f.vms), len(f.vms)).Draw(t, "busy")
				f.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second, func(i int) int { return busy[i] })
			}
			if f.most > 1+1e-9 {
				t.Fatalf("shares added up to %v", f.most)
			}
			// One burst of the limit, and two requests for each VM.
			if bound := fleetRate*f.now.Sub(start).Seconds() + fleetRate + 2*float64(len(f.vms)); float64(f.admitted) > bound {
				t.Fatalf("admitted %d, bound %v", f.admitted, bound)
			}
		})
	})
})

const (
	fleetRate = 20
	fleetStep = 100 * time.Millisecond
)

// fleet runs limiters in virtual time: reports leave once a second, offset by
// VM, and take up to a second.
type fleet struct {
	vms      []*limit.Limiter
	rng      *rand.Rand
	now      time.Time
	step     int
	apart    func(a, b int) bool
	transit  []transit
	admitted int
	// most is the highest sum of shares seen.
	most float64
}

type transit struct {
	to     int
	at     time.Time
	report limit.Report
}

func newFleet(n int, rng *rand.Rand) *fleet {
	f := &fleet{rng: rng, now: start}
	ids := make([]vm.ID, n)
	for i := range ids {
		ids[i] = vm.ID(fmt.Sprintf("vm%d", i))
	}
	for _, id := range ids {
		l := limit.New(options(id))
		l.SetMembers(ids)
		f.vms = append(f.vms, l)
	}
	return f
}

// restart replaces a VM by one that knows nothing.
func (f *fleet) restart(i int) {
	ids := make([]vm.ID, len(f.vms))
	for k := range ids {
		ids[k] = vm.ID(fmt.Sprintf("vm%d", k))
	}
	o := options(ids[i])
	o.Incarnation = "y"
	f.vms[i] = limit.New(o)
	f.vms[i].SetMembers(ids)
}

// run offers perSecond(i) requests a second to VM i.
func (f *fleet) run(d time.Duration, perSecond func(i int) int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		f.deliver()
		for i, l := range f.vms {
			f.offer(l, perSecond(i))
			if f.step%10 == i%10 {
				f.send(i, l.Report(f.now))
			}
		}
		f.most = max(f.most, f.shares())
		f.step++
	}
}

func (f *fleet) offer(l *limit.Limiter, perSecond int) {
	n := perSecond*(f.step+1)/10 - perSecond*f.step/10
	for range n {
		if t, err := l.Admit("a", contract.Limits{RequestsPerSecond: fleetRate}, limit.Estimate{}, f.now); err == nil {
			f.admitted++
			t.Settle(0, f.now)
		}
	}
}

func (f *fleet) send(from int, r limit.Report) {
	for to := range f.vms {
		if to == from || f.apart != nil && f.apart(from, to) {
			continue
		}
		delay := time.Duration(0)
		if f.rng != nil {
			delay = time.Duration(f.rng.IntN(int(time.Second)))
		}
		f.transit = append(f.transit, transit{to: to, at: f.now.Add(delay), report: r})
	}
}

func (f *fleet) deliver() {
	kept := f.transit[:0]
	for _, m := range f.transit {
		if m.at.After(f.now) {
			kept = append(kept, m)
			continue
		}
		f.vms[m.to].Observe(m.report, f.now)
	}
	f.transit = kept
}

// shares returns the sum over the VMs.
func (f *fleet) shares() float64 {
	sum := 0.0
	for _, l := range f.vms {
		sum += l.Share("a", f.now)
	}
	return sum
}
