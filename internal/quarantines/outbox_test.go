package quarantines

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/quarantine"
)

// maxMessageBytes is what fits into a datagram of an Ethernet network, with the other
// fields of a hint.
const maxMessageBytes = 1300

func TestMessagesFitIntoDatagramAndTellEverySuspect(t *testing.T) {
	g := NewWithT(t)
	digester := quarantine.NewDigester("secret")
	o := newOutbox()
	o.repeatable = true
	c := quarantine.Crash{Incarnation: quarantine.Incarnation{Upstream: "i-0123456789abcdef", Born: 1775838447165}, At: 1 << 50}
	for i := range 70 {
		s := quarantine.Suspect{Begun: true}
		for j := range 1 + i {
			s.Keys = append(s.Keys, digester.Part(fmt.Sprint(i, j)))
		}
		c.Suspects = append(c.Suspects, s)
	}
	o.addCrash(c)
	for i := range 60 {
		o.addSound(digester.Part(fmt.Sprint(i)), 1<<50, c.Upstream)
	}
	for range 20 {
		o.addAlive(Alive{Incarnation: c.Incarnation, At: 1 << 50})
	}
	now := time.Now()
	suspects, sound := 0, 0
	for !o.isEmpty() {
		for _, m := range o.flush(now) {
			text, err := json.Marshal(m)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(text)).To(BeNumerically("<=", maxMessageBytes))
			for _, c := range m.Crashes {
				suspects += len(c.Suspects)
			}
			sound += len(m.Sound)
		}
		now = now.Add(repeatAfter)
	}
	g.Expect(suspects).To(Equal(2 * 70))
	g.Expect(sound).To(Equal(2 * 60))
}

func TestOutboxIsBounded(t *testing.T) {
	g := NewWithT(t)
	o := newOutbox()
	for i := range 10 * maxQueued {
		o.addCrash(quarantine.Crash{Incarnation: quarantine.Incarnation{Born: int64(i)}})
	}
	g.Expect(o.crashes).To(HaveLen(maxQueued))
	g.Expect(o.takeDropped()).To(Equal(9 * maxQueued))
}
