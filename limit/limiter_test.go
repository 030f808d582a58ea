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

func asRefusal(err error) *refusal.Refusal {
	var r *refusal.Refusal
	ExpectWithOffset(1, errors.As(err, &r)).To(BeTrue())
	return r
}

// testOptions returns the default options with a burst of one second.
func testOptions(id vm.ID) limit.Options {
	o := limit.DefaultOptions(id, "x")
	o.Burst = time.Second
	return o
}

var _ = Describe("Limiter", func() {
	newLimiter := func() *limit.Limiter { return limit.New(testOptions("v1")) }

	It("enforces each limit on a single VM and returns the retry delay", func() {
		l := newLimiter()
		rate := contract.Limits{RequestsPerSecond: 10}
		for range 10 {
			_, err := l.Admit("a", rate, limit.Estimate{}, start)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := l.Admit("a", rate, limit.Estimate{}, start)
		Expect(asRefusal(err).Reason).To(Equal(refusal.LimitRequests))
		retryAt := start.Add(asRefusal(err).RetryAfter)
		_, err = l.Admit("a", rate, limit.Estimate{}, retryAt)
		Expect(err).NotTo(HaveOccurred())

		concurrency := contract.Limits{Concurrency: 1}
		t, err := l.Admit("b", concurrency, limit.Estimate{}, start)
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Admit("b", concurrency, limit.Estimate{}, start)
		Expect(asRefusal(err).Reason).To(Equal(refusal.LimitConcurrency))
		t.Settle(0, start)
		t.Settle(0, start)
		_, err = l.Admit("b", concurrency, limit.Estimate{}, start)
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Admit("b", concurrency, limit.Estimate{}, start)
		Expect(asRefusal(err).RetryAfter).To(BeNumerically(">", 0))
	})

	It("charges the estimated tokens and corrects them to the actual usage on settlement", func() {
		l, rate := newLimiter(), contract.Limits{TokensPerSecond: 100}
		t, err := l.Admit("a", rate, limit.Estimate{Tokens: 100}, start)
		Expect(err).NotTo(HaveOccurred())
		t.Settle(20, start)
		underestimated, err := l.Admit("a", rate, limit.Estimate{Tokens: 80}, start)
		Expect(err).NotTo(HaveOccurred())
		underestimated.Settle(280, start)
		_, err = l.Admit("a", rate, limit.Estimate{Tokens: 1}, start.Add(1900*time.Millisecond))
		Expect(asRefusal(err).Reason).To(Equal(refusal.LimitTokens))
		_, err = l.Admit("a", rate, limit.Estimate{Tokens: 5000}, start.Add(3*time.Second))
		Expect(err).NotTo(HaveOccurred(), "a full bucket must admit a request larger than the burst")
	})

	It("admits an account without limits, and starts with full buckets when limits are set", func() {
		l := newLimiter()
		for range 1000 {
			_, err := l.Admit("a", contract.Limits{}, limit.Estimate{Tokens: 1e6}, start)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := l.Admit("a", contract.Limits{RequestsPerSecond: 1, TokensPerSecond: 10}, limit.Estimate{Tokens: 1}, start)
		Expect(err).NotTo(HaveOccurred())
	})

	It("moves the share to the VM with the demand, and drops outdated and unknown reports", func() {
		f := newFleet(4, nil)
		f.run(20*time.Second, func(i int) int { return map[bool]int{true: 40}[i == 0] })
		// A demand of 1 on one VM, the minimum demand of 0.3/4 on the three others.
		Expect(f.vms[0].Share("a", f.now)).To(BeNumerically("~", 1/1.225, 1e-6))
		Expect(f.vms[1].Share("a", f.now)).To(BeNumerically("~", 0.075/1.225, 1e-6))
		outdated := limit.Report{VM: "vm1", Incarnation: "x", Seq: 1}
		Expect(f.vms[0].Observe(outdated, f.now)).To(BeFalse())
		Expect(f.vms[0].Observe(limit.Report{VM: "stranger"}, f.now)).To(BeFalse())
	})

	It("admits at least 99 % of the requests within the limit after a VM restarts", func() {
		f := newFleet(4, nil)
		demand := func(int) int { return 3 }
		f.run(20*time.Second, demand)
		f.restart(0)
		admittedBefore := f.admitted
		f.run(20*time.Second, demand)
		Expect(f.admitted - admittedBefore).To(BeNumerically(">=", 240*99/100))
	})

	It("gives an isolated VM an even share, and shares that sum to the limit on both sides", func() {
		f := newFleet(4, nil)
		demand := func(int) int { return 40 }
		f.run(20*time.Second, demand)
		f.partitioned = func(a, b int) bool { return (a == 0) != (b == 0) }
		f.run(20*time.Second, demand)
		Expect(f.vms[0].Share("a", f.now)).To(BeNumerically("~", 0.25, 1e-9))
		Expect(f.shareSum()).To(BeNumerically("~", 1, 1e-6))
		f.partitioned = nil
		f.run(20*time.Second, demand)
		Expect(f.shareSum()).To(BeNumerically("~", 1, 1e-6))
	})

	It("keeps the sum of shares within the limit with all VMs connected or partitioned in two", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(rapid.IntRange(2, 7).Draw(t, "vms"), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
			for range rapid.IntRange(1, 4).Draw(t, "phases") {
				split := rapid.IntRange(0, len(f.vms)).Draw(t, "cut")
				f.partitioned = func(a, b int) bool { return (a < split) != (b < split) }
				demand := rapid.SliceOfN(rapid.IntRange(0, 60), len(f.vms), len(f.vms)).Draw(t, "busy")
				f.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second, func(i int) int { return demand[i] })
			}
			if f.maxShareSum > 1+1e-9 {
				t.Fatalf("sum of shares is %v, want at most 1", f.maxShareSum)
			}
			// The rate over the elapsed time, one burst, and the minimum burst of two
			// requests per VM.
			if bound := fleetRequestsPerSecond*f.now.Sub(start).Seconds() + fleetRequestsPerSecond +
				2*float64(len(f.vms)); float64(f.admitted) > bound {
				t.Fatalf("admitted %d requests, want at most %v", f.admitted, bound)
			}
		})
	})
})

const (
	fleetRequestsPerSecond = 20
	fleetTick              = 100 * time.Millisecond
)

// fleet runs one limiter per VM in virtual time. Each VM sends a report once a second
// at its own offset. With a random source, reports take up to a second to arrive.
type fleet struct {
	vms  []*limit.Limiter
	rng  *rand.Rand
	now  time.Time
	tick int
	// partitioned, if set, returns true for two VMs whose reports to each other are lost.
	partitioned func(a, b int) bool
	inTransit   []message
	admitted    int
	// maxShareSum is the highest sum of shares observed.
	maxShareSum float64
}

// message is a report on its way to a VM.
type message struct {
	to        int
	deliverAt time.Time
	report    limit.Report
}

func newFleet(n int, rng *rand.Rand) *fleet {
	f := &fleet{rng: rng, now: start}
	ids := make([]vm.ID, n)
	for i := range ids {
		ids[i] = vm.ID(fmt.Sprintf("vm%d", i))
	}
	for _, id := range ids {
		l := limit.New(testOptions(id))
		l.SetMembers(ids)
		f.vms = append(f.vms, l)
	}
	return f
}

// restart replaces a VM by a new incarnation without state.
func (f *fleet) restart(i int) {
	ids := make([]vm.ID, len(f.vms))
	for k := range ids {
		ids[k] = vm.ID(fmt.Sprintf("vm%d", k))
	}
	o := testOptions(ids[i])
	o.Incarnation = "y"
	f.vms[i] = limit.New(o)
	f.vms[i].SetMembers(ids)
}

// run advances the time by d and offers perSecond(i) requests per second to VM i.
func (f *fleet) run(d time.Duration, perSecond func(i int) int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetTick) {
		f.deliver()
		for i, l := range f.vms {
			f.offer(l, perSecond(i))
			if f.tick%10 == i%10 {
				f.send(i, l.Report(f.now))
			}
		}
		f.maxShareSum = max(f.maxShareSum, f.shareSum())
		f.tick++
	}
}

// offer offers the requests of one tick to a VM; perSecond is the rate.
func (f *fleet) offer(l *limit.Limiter, perSecond int) {
	n := perSecond*(f.tick+1)/10 - perSecond*f.tick/10
	for range n {
		if t, err := l.Admit("a", contract.Limits{RequestsPerSecond: fleetRequestsPerSecond}, limit.Estimate{},
			f.now); err == nil {
			f.admitted++
			t.Settle(0, f.now)
		}
	}
}

// send queues a report for delivery to all VMs that the sender can reach.
func (f *fleet) send(from int, r limit.Report) {
	for to := range f.vms {
		if to == from || f.partitioned != nil && f.partitioned(from, to) {
			continue
		}
		delay := time.Duration(0)
		if f.rng != nil {
			delay = time.Duration(f.rng.IntN(int(time.Second)))
		}
		f.inTransit = append(f.inTransit, message{to: to, deliverAt: f.now.Add(delay), report: r})
	}
}

// deliver delivers the reports that are due.
func (f *fleet) deliver() {
	pending := f.inTransit[:0]
	for _, m := range f.inTransit {
		if m.deliverAt.After(f.now) {
			pending = append(pending, m)
			continue
		}
		f.vms[m.to].Observe(m.report, f.now)
	}
	f.inTransit = pending
}

// shareSum returns the sum of the shares of all VMs.
func (f *fleet) shareSum() float64 {
	sum := 0.0
	for _, l := range f.vms {
		sum += l.Share("a", f.now)
	}
	return sum
}
