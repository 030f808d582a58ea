package entry

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/assemble"
	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/sequence"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

const (
	// budgetBytes is the memory budget in these tests, and pieceBytes the length of a piece.
	budgetBytes = 1 << 20
	pieceBytes  = 10_000
	// maxPieces exceeds the budget several times.
	maxPieces = 1000
)

// newKeepingServer returns a server with a memory budget and nothing else, and an attempt at an engine.
func newKeepingServer() (*Server, *attempt) {
	s := &Server{Deps: Deps{Memory: membudget.New(budgetBytes)}, opts: Options{}.withDefaults()}
	s.opts.MaxBufferedBytes = maxPieces * pieceBytes
	return s, &attempt{id: "a", engine: &upstream.Upstream{ID: "e"}, ref: model.Ref{Model: "m", Version: "v"}, sequence: sequence.New("a", 0)}
}

// allFree reports whether the whole budget is free.
func allFree(s *Server) bool {
	all := s.Memory.Reserve(membudget.Holder{Kind: membudget.Callers, ID: allCallers})
	defer all.Release()
	return all.Grow(budgetBytes) == nil
}

// piece returns a valid piece of pieceBytes.
func piece(index int) sequence.Piece {
	return sequence.Piece{Attempt: "a", Index: index, Data: `{"id":"` + strings.Repeat("a", pieceBytes-9) + `"}`}
}

// TestAnswersAreKeptWithinBudget guards against engines whose answers, each within its own limit, fill the memory of a VM: a
// whole answer, what follows the usage, and the copy for rating.
func TestAnswersAreKeptWithinBudget(t *testing.T) {
	for name, newSink := range map[string]func(*Server, *Exchange, *attempt) answerSink{
		"buffered": func(s *Server, x *Exchange, _ *attempt) answerSink {
			return &bufferSink{maxBytes: s.opts.MaxBufferedBytes, keep: s.keeperOf(x)}
		},
		"after the usage": func(s *Server, x *Exchange, a *attempt) answerSink {
			a.usageKnown = true
			return s.newStreamSink(x, httptest.NewRecorder())
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, a := newKeepingServer()
			x := &Exchange{}
			sink := newSink(s, x, a)
			sink.start(a)
			var err error
			for i := 0; err == nil && i < maxPieces; i++ {
				err = sink.writePiece(piece(i))
			}
			g.Expect(errorx.IsOfType(err, engineclient.ErrUpstreamShare)).To(BeTrue(), "error: %v", err)
			g.Expect(allFree(s)).To(BeFalse())
			x.releaseKept()
			g.Expect(allFree(s)).To(BeTrue())
		})
	}
}

// TestCopyForRatingIsDroppedWithoutMemory guards against streams that end as the copy of their answer fills the memory.
func TestCopyForRatingIsDroppedWithoutMemory(t *testing.T) {
	g := NewWithT(t)
	s, a := newKeepingServer()
	sink := s.newStreamSink(&Exchange{}, httptest.NewRecorder())
	sink.sampled = true
	sink.start(a)
	for i := range maxPieces {
		sink.copyForRating(piece(i))
	}
	g.Expect(sink.ratingCopy).To(Equal((*assemble.Assembler)(nil)))
	g.Expect(allFree(s)).To(BeTrue())
}

// TestLateAttemptKeepsNothing guards against memory that is never released, as an attempt of an exchange that has ended
// reserves more.
func TestLateAttemptKeepsNothing(t *testing.T) {
	g := NewWithT(t)
	s, a := newKeepingServer()
	x := &Exchange{}
	early := s.keepAnswer(x, a.engine.ID, a.ref.Model)
	x.releaseKept()
	for _, k := range []*kept{early, s.keepAnswer(x, a.engine.ID, a.ref.Model)} {
		g.Expect(errorx.IsOfType(k.set(pieceBytes), engineclient.ErrNoRoom)).To(BeTrue())
	}
	g.Expect(allFree(s)).To(BeTrue())
}

// TestSmallAnswerGetsThroughBesideFullBudget guards against sound engines whose answers fail as others keep too much.
func TestSmallAnswerGetsThroughBesideFullBudget(t *testing.T) {
	g := NewWithT(t)
	s, a := newKeepingServer()
	engine := membudget.Holder{Kind: membudget.Upstream, ID: "e"}
	share := s.Memory.Reserve(engine)
	defer share.Release()
	for share.Grow(pieceBytes) == nil {
	}
	all := s.Memory.Reserve(membudget.Holder{Kind: membudget.Service, ID: "x"})
	defer all.Release()
	for all.Grow(pieceBytes) == nil {
	}
	g.Expect(s.keepAnswer(&Exchange{}, a.engine.ID, a.ref.Model).set(unreservedBytes)).To(Succeed())
	body := membudget.NewBuffer(s.Memory.Reserve(engine), budgetBytes)
	_, err := body.ReadFrom(strings.NewReader("{}"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body.Bytes())).To(Equal("{}"))
}
