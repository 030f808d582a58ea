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
	recent := 0
	for _, at := range v.sent {
		if at > now-limit.GrantSpan {
			recent++
		}
	}
	if recent >= v.Within(now) {
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
