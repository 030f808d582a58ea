package relay

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/membudget"
)

// TestEventsEndWithEmptyLineOfEitherKind guards against events that are never forwarded, or forwarded in
// parts, because their lines end with CR LF.
func TestEventsEndWithEmptyLineOfEitherKind(t *testing.T) {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "id: 3\ndata: c\n\r\n", ": comment\r\n\r\n", "id: 4\r\ndata: d\r\n\n"}
	whole := ""
	for _, event := range events {
		whole += event
	}
	for size := 1; size <= len(whole); size++ {
		g := NewWithT(t)
		buffer := newEventBuffer(membudget.New(maxEventBytes).Reserve())
		var got []string
		for rest := whole; rest != ""; {
			part := rest[:min(size, len(rest))]
			rest = rest[len(part):]
			g.Expect(buffer.append([]byte(part))).To(Succeed())
			for event := buffer.next(true); event != nil; event = buffer.next(true) {
				got = append(got, string(event))
			}
			buffer.compact()
		}
		g.Expect(got).To(Equal(events), "parts of %d bytes", size)
		g.Expect(buffer.hasPartial()).To(BeFalse())
	}
	g := NewWithT(t)
	g.Expect(eventID([]byte(events[1]))).To(Equal("2"))
	g.Expect(isComment([]byte(events[3]))).To(BeTrue())
}
