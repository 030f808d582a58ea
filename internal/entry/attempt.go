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

// attempt is one execution of a completion request on one engine.
type attempt struct {
	id        string
	ref       model.Ref
	index     *document.Index
	engine    *upstream.Upstream
	address   string
	startedAt time.Time

	sequence *sequence.Sequencer
	// early is the memory of the pieces that wait for a missing one.
	early            *kept
	usage            assemble.Usage
	usageKnown       bool
	pieceCount       int64
	timeToFirstPiece time.Duration
	draining         bool
}

// streamAttempt sends the attempt to its engine and writes the pieces to the sink
// until the answer is complete. A stream that breaks is resumed after the last
// piece that arrived in order, at most MaxResumes times.
func (s *Server) streamAttempt(ctx context.Context, x *Exchange, j *job, a *attempt, sink answerSink) error {
	sink.start(a)
	a.early = s.keepAnswer(x, a.engine.ID, a.ref.Model)
	defer a.early.release()
	stream, err := s.openStream(ctx, x, j, a)
	for resumes := 0; ; resumes++ {
		if err == nil {
			err = s.relayPieces(a, stream, sink)
		}
		if err == nil || !resumable(a, err) || resumes == s.opts.MaxResumes || ctx.Err() != nil {
			return err
		}
		if !s.stop.canHold(x.Deadline) {
			return err
		}
		stream, err = s.resumeAttempt(ctx, a, err)
	}
}

func (s *Server) openStream(ctx context.Context, x *Exchange, j *job, a *attempt) (*engineclient.Stream, error) {
	body, err := j.request.Body(a.ref)
	if err != nil {
		return nil, err
	}
	stream, err := s.Engines.Open(ctx, engineclient.Call{
		Address:  a.address,
		Path:     j.path(),
		Model:    string(a.ref.Model),
		Attempt:  a.id,
		Body:     body,
		Priority: x.Client.Contract.Priority,
		TimeLeft: s.timeLeft(x),
		WaitOn:   s.waitOn(x, j, a),
	})
	if err != nil {
		a.draining = engineclient.Draining(err)
		return nil, err
	}
	a.draining = stream.Draining
	return stream, nil
}

// relayPieces reads one stream of the attempt to its end. It returns ErrBroken if
// the stream ends before the answer is complete.
func (s *Server) relayPieces(a *attempt, stream *engineclient.Stream, sink answerSink) error {
	err := stream.Pieces(func(p sequence.Piece) error {
		ready, err := a.sequence.Accept(p)
		if err != nil {
			return engineclient.ErrBroken.Wrap(err, "reorder pieces of the answer")
		}
		if err := a.early.set(a.sequence.BufferedBytes()); err != nil {
			return err
		}
		return s.deliverPieces(a, ready, sink)
	}, sink.flush)
	if err == nil && (!a.usageKnown || !a.sequence.Contiguous()) {
		return engineclient.ErrBroken.New("stream ended with pieces or the usage missing")
	}
	return err
}

func (s *Server) deliverPieces(a *attempt, ready []sequence.Piece, sink answerSink) error {
	for _, p := range ready {
		a.recordPiece(p, s.Clock.Now())
		if err := sink.writePiece(p); err != nil {
			return err
		}
	}
	return nil
}

// recordPiece updates the counts, the latency and the usage for a piece.
func (a *attempt) recordPiece(p sequence.Piece, now time.Time) {
	if a.pieceCount == 0 {
		a.timeToFirstPiece = now.Sub(a.startedAt)
	}
	a.pieceCount++
	if usage, ok := assemble.ParseUsage(p.Data); ok {
		a.usage = usage
		a.usageKnown = true
	}
}

// resumable reports whether the stream can be resumed: at least one piece arrived,
// and the connection broke or was idle for too long.
func resumable(a *attempt, err error) bool {
	if a.sequence.Next() == 0 {
		return false
	}
	return errorx.IsOfType(err, engineclient.ErrBroken) || errorx.IsOfType(err, engineclient.ErrSilent)
}

func (s *Server) resumeAttempt(ctx context.Context, a *attempt, cause error) (*engineclient.Stream, error) {
	s.countIdleTimeout(cause)
	stream, err := s.Engines.Resume(ctx, a.address, string(a.ref.Model), a.id, a.sequence.Next()-1)
	if err != nil {
		s.metrics.resumes.WithLabelValues(errorLabel(err)).Inc()
		return nil, err
	}
	s.metrics.resumes.WithLabelValues("resumed").Inc()
	return stream, nil
}

func (s *Server) countIdleTimeout(err error) {
	if errorx.IsOfType(err, engineclient.ErrSilent) {
		s.metrics.silentConnections.Inc()
	}
}

// promptTokens returns the engine's count, or the estimate if there is none.
func (a *attempt) promptTokens(estimate int64) int64 {
	if a.usageKnown {
		return a.usage.PromptTokens
	}
	return estimate
}

// completionTokens returns the engine's count, or the number of pieces if there is
// none.
func (a *attempt) completionTokens() int64 {
	if a.usageKnown {
		return a.usage.CompletionTokens
	}
	return a.pieceCount
}

// errorLabel returns the name of the error's type as a metric label; "other" if it
// has none.
func errorLabel(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Type().FullName()
	}
	return "other"
}
