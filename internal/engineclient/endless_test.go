package engineclient_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/sequence"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/standin/endless"
)

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	// idleLimit is the idle time limit of streams in these tests, and givenUpWithin when a stream must have ended at
	// the latest.
	idleLimit     = 300 * time.Millisecond
	givenUpWithin = 5 * time.Second
)

// readEndless opens a stream of a server that sends the response, reads it to its end and returns the error.
func readEndless(t *testing.T, response endless.Response, memory *membudget.Budget) error {
	server, err := endless.Listen(response)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	ctx, cancel := context.WithTimeout(t.Context(), givenUpWithin)
	defer cancel()
	client := engineclient.New(transport.NewPools(transport.Options{}), engineclient.Limits{Idle: idleLimit}, memory)
	stream, err := client.Open(ctx, engineclient.Call{Address: server.URL(), Path: "/v1/completions", Model: "m", Attempt: "a", Body: []byte("{}")})
	if err != nil {
		return err
	}
	return stream.Pieces(func(sequence.Piece) error { return nil }, nil)
}

// TestBytesWithoutPieceCountAsSilence guards against engines that keep an attempt waiting until its deadline by
// bytes that are no new piece of the answer.
func TestBytesWithoutPieceCountAsSilence(t *testing.T) {
	const first = "id: a/0\ndata: first\n\n"
	for name, r := range map[string]endless.Response{
		"comments":                   {Start: streamHead, Part: ": hello\n\n"},
		"comments after a piece":     {Start: streamHead + first, Part: ": hello\n\n"},
		"empty lines":                {Start: streamHead + first, Part: "\n\n"},
		"event without end":          {Start: streamHead + first + "id: a/1\ndata: ", Part: "abc"},
		"lines without an empty one": {Start: streamHead + first + "id: a/1\n", Part: "data: abc\n"},
		"the same piece":             {Start: streamHead, Part: first},
		"pieces of another attempt":  {Start: streamHead + first, Part: "id: b/1\ndata: other\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r.Interval = 20 * time.Millisecond
			startedAt := time.Now()
			err := readEndless(t, r, membudget.New(1<<20))
			g := NewWithT(t)
			g.Expect(errorx.IsOfType(err, engineclient.ErrSilent)).To(BeTrue(), "error: %v", err)
			g.Expect(time.Since(startedAt)).To(BeNumerically("<", givenUpWithin))
		})
	}
}

// TestEventsWithoutEndStayWithinBudget guards against engines whose events, each within its own limit, fill the memory
// of the VM together.
func TestEventsWithoutEndStayWithinBudget(t *testing.T) {
	const limit = 300 << 10
	memory := membudget.New(limit)
	err := readEndless(t, endless.Response{Start: streamHead + "data: ", Part: strings.Repeat("a", 10_000)}, memory)
	g := NewWithT(t)
	g.Expect(errorx.IsOfType(err, engineclient.ErrNoRoom)).To(BeTrue(), "error: %v", err)
	g.Expect(errorx.IsOfType(err, engineclient.ErrUpstreamShare)).To(BeTrue(), "error: %v", err)
	free := memory.Reserve(membudget.Holder{Kind: membudget.Callers, ID: "all"})
	g.Expect(free.Grow(limit)).To(Succeed(), "what was kept is released")
}

// TestEventAboveLimitIsNotResumed guards against attempts that read an event without end again and again, as a broken
// stream is resumed.
func TestEventAboveLimitIsNotResumed(t *testing.T) {
	err := readEndless(t, endless.Response{Start: streamHead + "data: ", Part: strings.Repeat("a", 10_000)}, membudget.New(1<<30))
	NewWithT(t).Expect(errorx.IsOfType(err, engineclient.ErrMalformed)).To(BeTrue(), "error: %v", err)
}
