package membudget_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/internal/membudget"
)

const (
	budgetBytes = 32 << 20
	partBytes   = 4 << 10
)

func upstreamOf(service string, n int) []membudget.Holder {
	return []membudget.Holder{
		{Kind: membudget.Upstream, ID: fmt.Sprintf("%s-%d", service, n)}, {Kind: membudget.Service, ID: service},
	}
}

// fill grows reservations of so many upstreams of each service by turns until none of them has room.
func fill(b *membudget.Budget, upstreams int, services ...string) (kept []*membudget.Reservation) {
	for _, service := range services {
		for n := range upstreams {
			kept = append(kept, b.Reserve(upstreamOf(service, n)...))
		}
	}
	for grown := true; grown; {
		grown = false
		for _, r := range kept {
			grown = r.Grow(partBytes) == nil || grown
		}
	}
	return kept
}

// Upstreams that send without end must leave room for other upstreams of the service, and for other services.
func TestFaultyUpstreamsLeaveRoomForOthers(t *testing.T) {
	for upstreams, room := range map[int]int{1: 8 << 20, 2: 6 << 20, 3: 5 << 20} {
		g := NewWithT(t)
		b := membudget.New(budgetBytes)
		fill(b, upstreams, "faulty")
		g.Expect(b.Reserve(upstreamOf("faulty", upstreams)...).Grow(room)).To(Succeed(), "%d upstreams", upstreams)
		g.Expect(b.Reserve(upstreamOf("sound", 0)...).Grow(room/2)).To(Succeed(), "%d upstreams", upstreams)
	}
}

// However many services have faulty upstreams, a further one has some room.
func TestManyFaultyServicesLeaveRoomForAnotherOne(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(budgetBytes)
	fill(b, 2, "a", "b", "c", "d", "e", "f", "g", "h")
	g.Expect(b.Reserve(upstreamOf("sound", 0)...).Grow(1 << 20)).To(Succeed())
}

func TestOnlyHolderThatUsedUpItsShareIsBlamed(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(budgetBytes)
	kept := fill(b, 6, "faulty")
	g.Expect(errorx.IsOfType(kept[0].Grow(budgetBytes/4), membudget.ErrHolderShare)).To(BeTrue())
	err := b.Reserve(upstreamOf("faulty", 9)...).Grow(budgetBytes / 4)
	g.Expect(errorx.IsOfType(err, membudget.ErrHolderShare)).To(BeFalse())
	g.Expect(errorx.IsOfType(err, membudget.ErrExhausted)).To(BeTrue())
	g.Expect(b.Usage().Refused[membudget.Upstream]).To(BeNumerically(">", 0))
}

// An upstream that keeps little is not blamed for what others keep, whoever they are.
func TestHolderThatKeepsLittleIsNotBlamed(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(budgetBytes)
	sound := b.Reserve(upstreamOf("sound", 0)...)
	g.Expect(sound.Grow(partBytes)).To(Succeed())
	callers := b.Reserve(membudget.Holder{Kind: membudget.Callers})
	for callers.Grow(partBytes) == nil {
	}
	fill(b, 2, "faulty")
	g.Expect(errorx.IsOfType(sound.Grow(budgetBytes/4), membudget.ErrHolderShare)).To(BeFalse())
}

// What waits for a slow caller is not its upstream's any more.
func TestTransferredBytesLeaveRoomForTheFirstHolder(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(budgetBytes)
	first := b.Reserve(upstreamOf("s", 0)...)
	g.Expect(first.Grow(budgetBytes / 4)).To(Succeed())
	first.Transfer(membudget.Holder{Kind: membudget.Account, ID: "a"}, membudget.Holder{Kind: membudget.Callers})
	g.Expect(b.Reserve(upstreamOf("s", 0)...).Grow(budgetBytes / 4)).To(Succeed())
	first.Release()
	g.Expect(b.Usage().Bytes).To(BeEquivalentTo(budgetBytes / 4))
}

// A buffer of known length reserves no more than that.
func TestBufferOfExpectedLengthReservesNoMore(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(budgetBytes)
	buffer := membudget.NewBuffer(b.Reserve(upstreamOf("s", 0)...), 8<<20)
	const length = 3<<20 + 5
	buffer.Expect(length)
	for left := length; left > 0; left -= partBytes {
		g.Expect(buffer.Append(make([]byte, min(partBytes, left)))).To(Succeed())
	}
	g.Expect(buffer.Len()).To(Equal(length))
	g.Expect(b.Usage().Bytes).To(BeNumerically("<=", length))
}

// The sum of all reservations is never more than the budget, and nothing is left at the end.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := membudget.New(1 << 20)
		var kept []*membudget.Reservation
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				service := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "service"))
				kept = append(kept, b.Reserve(upstreamOf(service, rapid.IntRange(0, 3).Draw(t, "upstream"))...))
			case 1, 2:
				if len(kept) > 0 {
					_ = rapid.SampledFrom(kept).Draw(t, "grown").Grow(rapid.IntRange(1, 1<<19).Draw(t, "bytes"))
				}
			case 3:
				if len(kept) > 0 {
					rapid.SampledFrom(kept).Draw(t, "released").Release()
				}
			}
			if used := b.Usage().Bytes; used < 0 || used > b.Limit() {
				t.Fatalf("%d bytes are kept of %d", used, b.Limit())
			}
		}
		for _, r := range kept {
			r.Release()
		}
		if used := b.Usage().Bytes; used != 0 {
			t.Fatalf("%d bytes are left", used)
		}
	})
}

func TestBufferReservesItsCapacityAndReturnsIt(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(budgetBytes)
	buffer := membudget.NewBuffer(b.Reserve(upstreamOf("s", 0)...), 1<<20)
	part := bytes.Repeat([]byte("x"), 1000)
	for range 1000 {
		g.Expect(buffer.Append(part)).To(Succeed())
		g.Expect(b.Usage().Bytes).To(BeNumerically(">=", buffer.Len()-partBytes))
		g.Expect(b.Usage().Bytes).To(BeNumerically("<=", max(2*buffer.Len(), partBytes)))
	}
	g.Expect(buffer.Bytes()).To(HaveLen(1000 * 1000))
	g.Expect(errorx.IsOfType(buffer.Append(bytes.Repeat(part, 100)), membudget.ErrTooLarge)).To(BeTrue())
	g.Expect(buffer.Bytes()).To(HaveLen(1000 * 1000))
	buffer.Discard(1000*1000 - 1)
	g.Expect(string(buffer.Bytes())).To(Equal("x"))
	buffer.Discard(1)
	g.Expect(b.Usage().Bytes).To(BeZero())
}

// The first part of a buffer needs no room, also where its holder has more than its share since others keep much.
func TestSmallBuffersOfHolderAboveItsShareNeedNoRoom(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(budgetBytes)
	fill(b, 1, "faulty")
	fill(b, 3, "later")
	buffer := membudget.NewBuffer(b.Reserve(upstreamOf("faulty", 0)...), 1<<20)
	g.Expect(buffer.Append(make([]byte, partBytes))).To(Succeed())
}

// A holder alone in its budget can't keep more than there is.
func TestSingleHolderStaysWithinBudget(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(budgetBytes)
	service := b.Reserve(membudget.Holder{Kind: membudget.Service, ID: "s"})
	g.Expect(service.Grow(budgetBytes + 1)).To(HaveOccurred())
	for service.Grow(3<<20) == nil {
	}
	g.Expect(b.Usage().Bytes).To(BeNumerically("<=", budgetBytes))
}

// Small answers get through although their upstream has used up its share.
func TestSmallBuffersNeedNoRoom(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(0)
	buffer := membudget.NewBuffer(b.Reserve(upstreamOf("s", 0)...), 1<<20)
	g.Expect(buffer.Append(make([]byte, partBytes))).To(Succeed())
	g.Expect(buffer.Append([]byte("x"))).To(HaveOccurred())
}
