package loadshare_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/loadshare"
)

// fullMessage returns a message about n upstreams.
func fullMessage(n int) loadshare.Message {
	var m loadshare.Message
	for i := range 20 {
		m.Usuals = append(m.Usuals, loadshare.Usual{Key: uint32(i), Gap: 30 * time.Millisecond})
	}
	for i := range n {
		m.Entries = append(m.Entries, loadshare.Entry{
			Key: uint64(i) << 20, HasReport: true, Running: i, Waiting: 2 * i, Age: time.Duration(i) * 7 * time.Millisecond, Speed: 1.7, Weight: 20,
		})
	}
	return m
}

// TestDatagramIsBounded guards against datagrams that are fragmented: however much is known, a
// hint with a message has at most 1,200 bytes.
func TestDatagramIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := fullMessage(1000)
	b, err := json.Marshal(hints.Hint{Reports: m.Encode()})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(b)).To(BeNumerically("<=", 1200))
	g.Expect(loadshare.MaxEntries).To(BeNumerically(">=", 50))
	decoded, err := loadshare.Decode(m.Encode())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.Entries).To(HaveLen(loadshare.MaxEntries))
}

func TestMessageRoundTrip(t *testing.T) {
	g := NewWithT(t)
	m := loadshare.Message{
		Usuals: []loadshare.Usual{{Key: 7, Gap: 31 * time.Millisecond}},
		Entries: []loadshare.Entry{
			{Key: 1, HasReport: true, Running: 20, Waiting: 3, Age: 15 * time.Millisecond, Speed: 1, Weight: 9},
			{Key: 2, Speed: 0.7, Weight: 500},
			{Key: 3, HasReport: true, Age: 3 * time.Second, Running: 4},
		},
	}
	got, err := loadshare.Decode(m.Encode())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Usuals).To(Equal(m.Usuals))
	g.Expect(got.Entries).To(HaveLen(2), "a report that is too old is not sent")
	g.Expect(got.Entries[0]).To(Equal(loadshare.Entry{Key: 1, HasReport: true, Running: 20, Waiting: 3, Age: 20 * time.Millisecond, Speed: 1, Weight: 9}))
	g.Expect(got.Entries[1].Speed).To(BeNumerically("~", 0.7, 0.01))
	g.Expect(got.Entries[1].Weight).To(BeNumerically("==", 100))
}

// TestHostileMessages guards against a VM that sends nonsense: whatever arrives, decoding ends
// with an error or with values within the bounds.
func TestHostileMessages(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		b := make([]byte, rng.IntN(1000))
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
		if len(b) > 1 && rng.IntN(4) > 0 {
			b[0], b[1] = 1, byte(rng.IntN(9))
			b = b[:max(len(b)-(max(len(b)-2-8*int(b[1]), 0))%11, 2)]
		}
		m, err := loadshare.Decode(b)
		if err != nil {
			g.Expect(errorx.IsOfType(err, loadshare.ErrMalformed)).To(BeTrue())
			continue
		}
		for _, e := range m.Entries {
			if e.Running < 0 || e.Running > 10_000 || e.Age < 0 || e.Age > loadshare.MaxReportAge || e.Weight > 100 ||
				e.Weight > 0 && (e.Speed < 0.125 || e.Speed > 8) {
				t.Fatalf("entry out of bounds: %+v", e)
			}
		}
	}
	_, err := loadshare.Decode([]byte{2, 0})
	g.Expect(err).To(HaveOccurred(), "a later version")
}

// TestNothingNewIsNotSent guards against messages between idle VMs, and against VMs that return
// the same report to each other.
func TestNothingNewIsNotSent(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var s loadshare.Sender
	empty := loadshare.Message{}
	g.Expect(s.Select(&empty, now)).To(BeFalse())
	m := fullMessage(3)
	g.Expect(s.Select(&m, now)).To(BeTrue())
	now = now.Add(loadshare.RoundInterval)
	same := fullMessage(3)
	for i := range same.Entries {
		same.Entries[i].Age += loadshare.RoundInterval - 20*time.Millisecond
	}
	g.Expect(s.Select(&same, now)).To(BeFalse())
	fresh := same
	fresh.Entries[2].Age = 0
	g.Expect(s.Select(&fresh, now)).To(BeTrue())
	g.Expect(fresh.Entries[0].Key).To(Equal(uint64(2) << 20))
}

// TestEntriesTakeTurns guards against upstreams that are never sent about, as there are more of
// them than fit into a message.
func TestEntriesTakeTurns(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var s loadshare.Sender
	seen := make(map[uint64]bool)
	for range 8 {
		now = now.Add(loadshare.RoundInterval)
		m := fullMessage(300)
		for i := range m.Entries {
			m.Entries[i].HasReport = i < 5
		}
		g.Expect(s.Select(&m, now)).To(BeTrue())
		g.Expect(m.Entries).To(HaveLen(loadshare.MaxEntries))
		for _, e := range m.Entries {
			seen[e.Key] = true
		}
	}
	g.Expect(seen).To(HaveLen(300))
}

// simVM is a VM of the simulated region: the newest report on each upstream by time.
type simVM struct {
	sender  loadshare.Sender
	reports map[uint64]time.Time
	bytes   int
}

// round lets a VM send to random others, and returns whether it did.
func (v *simVM) round(rng *rand.Rand, others []*simVM, now time.Time) {
	var m loadshare.Message
	for key, at := range v.reports {
		m.Entries = append(m.Entries, loadshare.Entry{Key: key, HasReport: true, Age: now.Sub(at)})
	}
	if !v.sender.Select(&m, now) {
		return
	}
	b, _ := json.Marshal(hints.Hint{Reports: m.Encode()})
	for _, other := range loadshare.Recipients(rng, others) {
		v.bytes += len(b)
		decoded, _ := loadshare.Decode(m.Encode())
		for _, e := range decoded.Entries {
			if at := now.Add(-e.Age); at.Sub(other.reports[e.Key]) > loadshare.NewerBy {
				other.reports[e.Key] = at
			}
		}
	}
}

// TestReportReachesRegion guards against reports that spread too slowly to be of use, and
// against traffic that grows with the number of VMs.
func TestReportReachesRegion(t *testing.T) {
	for vms, maxRounds := range map[int]int{1: 0, 6: 3, 25: 4, 100: 5, 300: 6} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(3, uint64(vms)))
			region := make([]*simVM, vms)
			for i := range region {
				region[i] = &simVM{reports: make(map[uint64]time.Time)}
			}
			now, worst, rounds := time.Unix(1000, 0), 0, 0
			for probe := range 10 {
				first := region[rng.IntN(vms)]
				key := uint64(1_000_000 + probe)
				first.reports[key] = now
				for spread := 0; ; spread++ {
					if reached(region, key)*10 >= vms*9 {
						worst = max(worst, spread)
						break
					}
					g.Expect(spread).To(BeNumerically("<", 12))
					now = now.Add(loadshare.RoundInterval)
					rounds++
					for _, i := range rng.Perm(vms) {
						for u := range 60 {
							if rng.IntN(20) == 0 {
								region[i].reports[uint64(u)] = now
							}
						}
						others := append(append([]*simVM{}, region[:i]...), region[i+1:]...)
						region[i].round(rng, others, now)
					}
				}
			}
			most := 0
			for _, v := range region {
				most = max(most, v.bytes)
			}
			perSecond := float64(most) / max(float64(rounds), 1) / loadshare.RoundInterval.Seconds()
			t.Logf("nine tenths of %d VMs within %d rounds, %.0f bytes a second", vms, worst, perSecond)
			g.Expect(worst).To(BeNumerically("<=", maxRounds))
			g.Expect(perSecond).To(BeNumerically("<=", 10_000))
		})
	}
}

// reached returns the number of VMs that know of an upstream.
func reached(region []*simVM, key uint64) int {
	n := 0
	for _, v := range region {
		if _, known := v.reports[key]; known {
			n++
		}
	}
	return n
}
