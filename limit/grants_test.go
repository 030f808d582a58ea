package limit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/limit"
)

// grantee is a VM that sends as many requests as it may.
type grantee struct {
	limit.Grants
	sent []time.Duration
}

// send sends a request if the VM may, and reports whether it did.
func (v *grantee) send(now time.Duration) bool {
	span := v.Span
	if span == 0 {
		span = limit.GrantSpan
	}
	for len(v.sent) > 0 && v.sent[0] <= now-span {
		v.sent = v.sent[1:]
	}
	if len(v.sent) >= v.Within(now) {
		return false
	}
	v.sent = append(v.sent, now)
	return true
}

// TestGrantsKeepRateOfAllVMs draws fleets of 1 to 300 VMs with uneven traffic, in bursts
// and after idle times. In any four seconds all VMs together must send no more than one
// and a half times the rate, plus five requests.
func TestGrantsKeepRateOfAllVMs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const span, length, tick = 4 * time.Second, 20 * time.Second, 20 * time.Millisecond
		rate := rapid.Float64Range(0.3, 60).Draw(rt, "rate")
		vms := make([]grantee, rapid.IntRange(1, 300).Draw(rt, "vms"))
		traffic := make([]float64, len(vms))
		for i := range vms {
			vms[i].Grants = limit.Grants{PerSecond: rate, VMs: len(vms), Rank: i}
			traffic[i] = rapid.Float64Range(0, 1).Draw(rt, "traffic")
		}
		idle := time.Duration(rapid.Int64Range(0, int64(length)).Draw(rt, "idle"))
		rng := rapid.Uint64().Draw(rt, "seed")
		var sent []time.Duration
		for now := time.Minute; now < time.Minute+length; now += tick {
			for i := range vms {
				rng = rng*6364136223846793005 + 1442695040888963407
				if now > time.Minute+idle && float64(rng>>40)/(1<<24) < traffic[i] && vms[i].send(now) {
					sent = append(sent, now)
				}
			}
		}
		most, oldest := 0, 0
		for i, at := range sent {
			for at-sent[oldest] > span {
				oldest++
			}
			most = max(most, i-oldest+1)
		}
		if allowed := 1.5*rate*span.Seconds() + 5; float64(most) > allowed {
			rt.Fatalf("%d requests in %v, allowed %.1f", most, span, allowed)
		}
	})
}

// All grants together amount to the rate, so that an upstream is used as far as it allows.
func TestGrantsOfAllVMsAmountToRate(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{1, 2, 7, 60, 300} {
		const rate, seconds = 5.0, 120
		sent := 0
		vms := make([]grantee, n)
		for i := range vms {
			vms[i].Grants = limit.Grants{PerSecond: rate, VMs: n, Rank: i}
		}
		for now := time.Hour; now < time.Hour+seconds*time.Second; now += 10 * time.Millisecond {
			for i := range vms {
				if vms[i].send(now) {
					sent++
				}
			}
		}
		g.Expect(sent).To(BeNumerically("~", rate*seconds, 0.05*rate*seconds), "%d VMs", n)
	}
}

func TestNextGrantIsWithinOnePeriod(t *testing.T) {
	g := NewWithT(t)
	grants := limit.Grants{PerSecond: 4, VMs: 300, Rank: 7}
	g.Expect(grants.Next(10*time.Second + 100*time.Millisecond)).To(BeNumerically("~", 150*time.Millisecond, time.Millisecond))
}

// mostWithin returns the largest number of times in any half-open span. The times are in order.
func mostWithin(times []time.Duration, span time.Duration) int {
	most, oldest := 0, 0
	for i, at := range times {
		for at-times[oldest] >= span {
			oldest++
		}
		most = max(most, i-oldest+1)
	}
	return most
}

// drawVMs draws a number of VMs. Plain ranges draw mostly small ones.
func drawVMs(rt *rapid.T, least int) int {
	n := rapid.SampledFrom([]int{least, 20, 82, 150, 290}).Draw(rt, "about")
	return n + rapid.IntRange(0, 10).Draw(rt, "more")
}

// drawTraffic lets VMs that start at drawn times send at drawn rates, and returns the times of
// all requests.
func drawTraffic(rt *rapid.T, vms []grantee) []time.Duration {
	const length, tick = 5 * time.Second, 20 * time.Millisecond
	begin := time.Duration(rapid.Int64Range(int64(time.Minute), int64(24*time.Hour)).Draw(rt, "begin"))
	rng := rapid.Uint64().Draw(rt, "seed")
	next := func() float64 {
		rng = rng*6364136223846793005 + 1442695040888963407
		return float64(rng>>40) / (1 << 24)
	}
	traffic, starts := make([]float64, len(vms)), make([]time.Duration, len(vms))
	for i := range vms {
		traffic[i] = next() * next()
		starts[i] = begin + time.Duration(next()*float64(length/2))
	}
	var sent []time.Duration
	for now := begin; now < begin+length; now += tick {
		for i := range vms {
			for now >= starts[i] && next() < traffic[i] && vms[i].send(now) {
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// TestGrantsWithShortSpanKeepRateInAnySecond guards against a flood of a cold upstream: VMs
// with saved grants, uneven traffic and uneven starts send in the same second.
func TestGrantsWithShortSpanKeepRateInAnySecond(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		span := time.Duration(rapid.Int64Range(int64(50*time.Millisecond), int64(500*time.Millisecond)).Draw(rt, "span"))
		rate := rapid.Float64Range(0.5, 40).Draw(rt, "rate")
		vms := make([]grantee, drawVMs(rt, 1))
		for i := range vms {
			vms[i].Grants = limit.Grants{PerSecond: rate, VMs: len(vms), Rank: i, Span: span}
		}
		most := mostWithin(drawTraffic(rt, vms), time.Second)
		if bound := rate*(1+span.Seconds()) + 1; float64(most) > bound {
			rt.Fatalf("%d requests in a second, allowed %.1f", most, bound)
		}
	})
}

// TestGrantsOfFewDifferingListsStayNearRate guards against VMs whose list of VMs lags: each VM
// that ranks itself by a list of its own adds at most its own grants to the bound.
func TestGrantsOfFewDifferingListsStayNearRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const span = 500 * time.Millisecond
		rate := rapid.Float64Range(0.5, 40).Draw(rt, "rate")
		vms := make([]grantee, drawVMs(rt, 10))
		for i := range vms {
			vms[i].Grants = limit.Grants{PerSecond: rate, VMs: len(vms), Rank: i, Span: span}
		}
		bound := rate*(1+span.Seconds()) + 1
		for range rapid.IntRange(0, 3).Draw(rt, "differing") {
			v := &vms[rapid.IntRange(0, len(vms)-1).Draw(rt, "vm")]
			v.VMs = len(vms) + rapid.IntRange(-5, 5).Draw(rt, "members")
			v.Rank = rapid.IntRange(0, v.VMs-1).Draw(rt, "rank")
			bound += rate*(1+span.Seconds())/float64(v.VMs) + 1
		}
		if most := mostWithin(drawTraffic(rt, vms), time.Second); float64(most) > bound {
			rt.Fatalf("%d requests in a second, allowed %.1f", most, bound)
		}
	})
}
