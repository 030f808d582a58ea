package engines_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/loadshare"
	"github.com/poplarshore/poplarshore/upstream"
)

// gossip exchanges what the VMs of a fleet know. Messages take delay, so that reports are old
// when they are used.
type gossip struct {
	*fleet
	senders []loadshare.Sender
	delay   time.Duration
	pending []delivery
	// ages are those of the reports in the messages that arrived.
	ages []time.Duration
}

// delivery is a message on its way.
type delivery struct {
	to         *engines.Directory
	message    loadshare.Message
	sentAt, at time.Time
}

// newGossip returns a fleet like newFleet whose VMs share reports.
func newGossip(vms, servers int, delay time.Duration) *gossip {
	f := newFleet(vms, servers, true)
	entries := make([]engines.Entry, 0, servers)
	for _, e := range f.vms[0].ForService("s") {
		entry := newEntry(string(e.ID()), "d1")
		entry.Capacity = fleetCapacity
		entries = append(entries, entry)
	}
	for i := range f.vms {
		f.vms[i] = newSharingDirectory(f.clock, true)
		f.vms[i].Replace(entries)
	}
	return &gossip{fleet: f, senders: make([]loadshare.Sender, vms), delay: delay}
}

// share lets some time pass with a round of each VM every RoundInterval.
func (g *gossip) share(d time.Duration, perSecond float64) {
	for range int(d / loadshare.RoundInterval) {
		for range int(loadshare.RoundInterval / fleetStep) {
			g.run(fleetStep, perSecond)
			g.deliver()
		}
		for i, vm := range g.vms {
			m := vm.SharedReports()
			if !g.senders[i].Select(&m, g.clock.Now()) {
				continue
			}
			others := append(append([]*engines.Directory{}, g.vms[:i]...), g.vms[i+1:]...)
			for _, to := range loadshare.Recipients(g.rng, others) {
				copied, _ := loadshare.Decode(m.Encode())
				at := g.clock.Now().Add(time.Duration(g.rng.Int64N(int64(2 * g.delay))))
				g.pending = append(g.pending, delivery{to, copied, g.clock.Now(), at})
			}
		}
	}
}

// deliver delivers the messages whose time has come. Their reports have aged on the way.
func (g *gossip) deliver() {
	kept := g.pending[:0]
	for _, p := range g.pending {
		if g.clock.Now().Before(p.at) {
			kept = append(kept, p)
			continue
		}
		for i := range p.message.Entries {
			e := &p.message.Entries[i]
			e.Age += g.clock.Since(p.sentAt)
			if e.HasReport {
				g.ages = append(g.ages, e.Age)
			}
		}
		p.to.MergeReports(p.message)
	}
	g.pending = kept
}

// perServer returns the mean number of streams that a slow and a fast server got.
func (f *fleet) perServer() (slow, fast float64) {
	slows, fasts := 0.0, 0.0
	for _, s := range f.servers {
		if s.factor > 1 {
			slow, slows = slow+float64(s.served), slows+1
		} else {
			fast, fasts = fast+float64(s.served), fasts+1
		}
	}
	return slow / slows, fast / fasts
}

// TestVMsWithSameReportsSpread guards against a herd: VMs that know the same reports and send to
// the same upstream; and against slow upstreams that get as many streams as fast ones.
func TestVMsWithSameReportsSpread(t *testing.T) {
	g := NewWithT(t)
	const runs, perVM = 3, 120.0 / 25
	var mean [2]float64
	var late [2]int
	for run := range runs {
		alone, shared := newFleet(25, 20, true), newGossip(25, 20, 150*time.Millisecond)
		for i, f := range []*fleet{alone, shared.fleet} {
			f.rng = rand.New(rand.NewPCG(uint64(run), 1))
			if i == 0 {
				f.run(10*time.Second, perVM)
			} else {
				shared.share(10*time.Second, perVM)
			}
			slow, fast := f.perServer()
			mean[i] += f.seconds / float64(f.ended) / runs
			late[i] += f.late
			t.Logf("busiest %.2f, slow %.0f, fast %.0f, late %d of %d, mean %.2f s", f.busiest(), slow, fast, f.late, f.ended, f.seconds/float64(f.ended))
		}
		slices.Sort(shared.ages)
		t.Logf("age of reports: a tenth below %v, a tenth above %v", shared.ages[len(shared.ages)/10], shared.ages[len(shared.ages)*9/10])
		slow, fast := shared.perServer()
		g.Expect(shared.busiest()).To(BeNumerically("<", 1.6))
		g.Expect(slow).To(BeNumerically("<", fast/2))
	}
	g.Expect(mean[1]).To(BeNumerically("<", mean[0]))
	g.Expect(late[1]).To(BeNumerically("<", late[0]))
}

// TestPrefixesStayAtFastHomes guards against prefixes that are scattered by the spread of
// requests, or have their homes on slow upstreams, which long answers leave. The load is light:
// homes that are busier than other upstreams give requests away.
func TestPrefixesStayAtFastHomes(t *testing.T) {
	g := NewWithT(t)
	shared := newGossip(25, 20, 150*time.Millisecond)
	shared.prefixes = 16
	shared.share(20*time.Second, 0.5)
	clear(shared.homes)
	shared.share(20*time.Second, 0.5)
	atHome, all := 0, 0
	for prefix, byServer := range shared.homes {
		most, home := 0, upstream.ID("")
		for id, n := range byServer {
			all += n
			if n > most {
				most, home = n, id
			}
		}
		atHome += most
		g.Expect(shared.servers[home].factor).To(BeNumerically("<", 1), "home of prefix %d", prefix)
	}
	t.Logf("%d of %d streams at the home of their prefix", atHome, all)
	g.Expect(float64(atHome) / float64(all)).To(BeNumerically(">", 0.6))
}
