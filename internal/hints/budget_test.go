package hints

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/quarantines"
)

// drain takes all datagrams that the budget allows now and returns their first bytes.
func drain(q *evidenceQueue, now time.Time) (text string, bytes int) {
	for {
		d, _, ok := q.next(now)
		if !ok {
			return text, bytes
		}
		text += string(d.payload[:1])
		bytes += len(d.payload) + datagramOverheadBytes
	}
}

func payload(first byte, bytes int) []byte {
	p := make([]byte, bytes)
	p[0] = first
	return p
}

// TestMostUsefulEvidenceIsSentFirst guards against entries and strong evidence that wait behind
// the rest.
func TestMostUsefulEvidenceIsSentFirst(t *testing.T) {
	g := NewWithT(t)
	q, now := newEvidenceQueue(), time.Unix(0, 0)
	for p, first := range map[quarantines.Priority]byte{
		quarantines.PriorityOther: 'o', quarantines.PrioritySound: 's', quarantines.PriorityEntries: 'e', quarantines.PriorityStrong: 'c',
	} {
		q.add(p, payload(first, 100), netip.AddrPort{}, now)
	}
	text, _ := drain(q, now)
	g.Expect(text).To(Equal("ecso"))
}

// TestEvidenceOfAnySecondStaysWithinBudget guards against bursts that fill a slow link.
func TestEvidenceOfAnySecondStaysWithinBudget(t *testing.T) {
	g := NewWithT(t)
	q, now := newEvidenceQueue(), time.Unix(0, 0)
	const perSecond = 100
	var sent []int
	for range 5 * perSecond {
		for range 20 {
			q.add(quarantines.PriorityStrong, payload('c', 1000), netip.AddrPort{}, now)
		}
		_, bytes := drain(q, now)
		sent = append(sent, bytes)
		now = now.Add(time.Second / perSecond)
	}
	for i := range sent[:len(sent)-perSecond] {
		sum := 0
		for _, bytes := range sent[i : i+perSecond] {
			sum += bytes
		}
		g.Expect(sum).To(BeNumerically("<=", evidenceBytesPerSecond+evidenceBurstBytes))
		g.Expect(sum).To(BeNumerically(">=", evidenceBytesPerSecond*9/10))
	}
	g.Expect(len(q.waiting[quarantines.PriorityStrong])).To(BeNumerically("<=", maxQueuedDatagrams))
}

// TestEvidenceThatWaitsTooLongIsDroppedAndReportedOnce guards against evidence that is sent
// after it can still matter, and against a log line for each datagram.
func TestEvidenceThatWaitsTooLongIsDroppedAndReportedOnce(t *testing.T) {
	g := NewWithT(t)
	q, now := newEvidenceQueue(), time.Unix(0, 0)
	fill := func() {
		for range 2 * maxQueuedDatagrams {
			q.add(quarantines.PriorityOther, payload('o', 1000), netip.AddrPort{}, now)
		}
	}
	fill()
	n, first := q.takeDropped(now)
	g.Expect(n).To(Equal(maxQueuedDatagrams))
	g.Expect(first).To(BeTrue())
	now = now.Add(evidenceMaxAge + time.Millisecond)
	_, wait, ok := q.next(now)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeZero())
	n, first = q.takeDropped(now)
	g.Expect(n).To(Equal(maxQueuedDatagrams))
	g.Expect(first).To(BeFalse())
	now = now.Add(dropEpisodeEnd + time.Millisecond)
	fill()
	_, first = q.takeDropped(now)
	g.Expect(first).To(BeTrue())
}

// TestQueueTellsWhenToAskAgain guards against evidence that waits for the next message.
func TestQueueTellsWhenToAskAgain(t *testing.T) {
	g := NewWithT(t)
	q, now := newEvidenceQueue(), time.Unix(0, 0)
	for range 20 {
		q.add(quarantines.PriorityStrong, payload('c', 1000), netip.AddrPort{}, now)
	}
	drain(q, now)
	_, wait, ok := q.next(now)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeNumerically(">", 0))
	_, _, ok = q.next(now.Add(wait + time.Millisecond))
	g.Expect(ok).To(BeTrue())
}
