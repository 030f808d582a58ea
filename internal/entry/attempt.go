package entry

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/internal/assemble"
	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/sequence"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// attempt is one dispatch of a completion to one engine.
type attempt struct {
	id      string
	ref     model.Ref
	index   *document.Index
	engine  *upstream.Upstream
	address string
	began   time.Time

	sequence   *sequence.Sequencer
	usage      assemble.Usage
	usageKnown bool
	pieces     int64
	firstPiece time.Duration
	draining   bool
}

// run dispatches the attempt and feeds the sink until the answer is whole. A
// broken stream is resumed after its last whole piece.
func (s *Server) run(ctx context.Context, x *Exchange, j *job, a *attempt, out sink) error {
	out.start(a)
	stream, err := s.open(ctx, x, j, a)
	for resumes := 0; ; resumes++ {
		if err == nil {
			err = s.relay(a, stream, out)
		}
		if err == nil || !resumable(a, err) || resumes == s.opts.MaxResumes || ctx.Err() != nil {
			return err
		}
		stream, err = s.resume(ctx, a, err)
	}
}

func (s *Server) open(ctx context.Context, x *Exchange, j *job, a *attempt) (*engineclient.Stream, error) {
	body, err := j.request.Body(a.ref)
	if err != nil {
		return nil, err
	}
	stream, err := s.Engines.Open(ctx, engineclient.Call{
		Address:  a.address,
		Path:     j.path(),
		Attempt:  a.id,
		Body:     body,
		Priority: x.Client.Contract.Priority,
		TimeLeft: s.remaining(x),
	})
	if err != nil {
		a.draining = engineclient.Draining(err)
		return nil, err
	}
	a.draining = stream.Draining
	return stream, nil
}

// relay reads one connection of the attempt to its end.
func (s *Server) relay(a *attempt, stream *engineclient.Stream, out sink) error {
	err := stream.Pieces(func(p sequence.Piece) error {
		ready, err := a.sequence.Accept(p)
		if err != nil {
			return engineclient.ErrBroken.Wrap(err, "pieces out of order")
		}
		return s.deliver(a, ready, out)
	}, out.flush)
	if err == nil && (!a.usageKnown || !a.sequence.Whole()) {
		return engineclient.ErrBroken.New("the end came while pieces were missing")
	}
	return err
}

func (s *Server) deliver(a *attempt, ready []sequence.Piece, out sink) error {
	for _, p := range ready {
		a.note(p, s.Clock.Now())
		if err := out.piece(p); err != nil {
			return err
		}
	}
	return nil
}

// note accounts for a piece.
func (a *attempt) note(p sequence.Piece, now time.Time) {
	if a.pieces == 0 {
		a.firstPiece = now.Sub(a.began)
	}
	a.pieces++
	if usage, ok := assemble.UsageOf(p.Data); ok {
		a.usage = usage
		a.usageKnown = true
	}
}

// resumable tells whether the engine may still have the stream: its headers
// came, or pieces did.
func resumable(a *attempt, err error) bool {
	if a.sequence.Next() == 0 {
		return false
	}
	return errorx.IsOfType(err, engineclient.ErrBroken) || errorx.IsOfType(err, engineclient.ErrSilent)
}

func (s *Server) resume(ctx context.Context, a *attempt, cause error) (*engineclient.Stream, error) {
	s.noteSilence(cause)
	stream, err := s.Engines.Resume(ctx, a.address, a.id, a.sequence.Next()-1)
	if err != nil {
		s.metrics.resumes.WithLabelValues(errorLabel(err)).Inc()
		return nil, err
	}
	s.metrics.resumes.WithLabelValues("resumed").Inc()
	return stream, nil
}

func (s *Server) noteSilence(err error) {
	if errorx.IsOfType(err, engineclient.ErrSilent) {
		s.metrics.silent.Inc()
	}
}

// promptTokens returns the engine's count, or the estimate.
func (a *attempt) promptTokens(estimate int64) int64 {
	if a.usageKnown {
		return a.usage.PromptTokens
	}
	return estimate
}

// completionTokens returns the engine's count, or the number of pieces seen.
func (a *attempt) completionTokens() int64 {
	if a.usageKnown {
		return a.usage.CompletionTokens
	}
	return a.pieces
}

// errorLabel names an error's type for a metric's label.
func errorLabel(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Type().FullName()
	}
	return "other"
}
