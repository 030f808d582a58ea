package entry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/internal/sequence"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/upstream"
)

// resumePoint is the content of a resume token: what another VM needs to resume a
// stream.
type resumePoint struct {
	Request string      `json:"r"`
	Account account.ID  `json:"a"`
	Attempt string      `json:"t"`
	Engine  upstream.ID `json:"e"`
	Ref     model.Ref   `json:"v"`
	Chat    bool        `json:"c,omitempty"`
	// Prompt is the estimated number of prompt tokens.
	Prompt int64 `json:"p"`
}

// resumeToken returns the signed token with which a caller can resume its stream at
// any VM.
func (s *Server) resumeToken(c *completion, a *attempt) string {
	payload, _ := json.Marshal(resumePoint{
		Request: c.exchange.ID, Account: c.exchange.Client.Account, Attempt: a.id, Engine: a.engine.ID, Ref: a.ref,
		Chat: c.request.Chat, Prompt: c.request.PromptTokens(),
	})
	return base64.RawURLEncoding.EncodeToString(append(s.signResumeToken(payload), payload...))
}

func (s *Server) signResumeToken(payload []byte) []byte {
	mac := hmac.New(sha256.New, s.ResumeKey)
	mac.Write(payload)
	return mac.Sum(nil)
}

func (s *Server) verifyResumeToken(x *Exchange, token string) (resumePoint, error) {
	var p resumePoint
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) < sha256.Size {
		return p, refusal.New(refusal.StreamUnknown)
	}
	mac, payload := raw[:sha256.Size], raw[sha256.Size:]
	if !hmac.Equal(mac, s.signResumeToken(payload)) || json.Unmarshal(payload, &p) != nil {
		return p, refusal.New(refusal.StreamUnknown)
	}
	if p.Account != x.Client.Account {
		return p, refusal.New(refusal.StreamUnknown)
	}
	return p, nil
}

// maxPieceIndex is the highest index of a piece of a stream that can be resumed.
const maxPieceIndex = 1 << 24

// resumeStream resumes a stream whose VM failed. The Last-Event-ID header contains the
// index of the last piece that the caller received; without it the stream starts again
// at the first piece. The request id stays the same, so that the request is billed only
// once, regardless of how often it is resumed.
func (s *Server) resumeStream(x *Exchange, w http.ResponseWriter, r *http.Request) error {
	point, err := s.verifyResumeToken(x, r.PathValue("token"))
	if err != nil {
		return err
	}
	lastIndex := -1
	if id := r.Header.Get("Last-Event-ID"); id != "" {
		if lastIndex, err = strconv.Atoi(id); err != nil || lastIndex < 0 || lastIndex > maxPieceIndex {
			return refusal.Wrap(refusal.StreamUnknown, err).With("Last-Event-ID is not a piece's number.")
		}
	}
	engine := x.Index.Upstream(point.Engine)
	if engine == nil {
		return refusal.New(refusal.StreamUnknown)
	}
	a, err := s.newAttempt(x.Index, point.Ref, engine)
	if err != nil {
		return refusal.Wrap(refusal.StreamUnknown, err)
	}
	a.id = point.Attempt
	a.sequence = sequence.New(point.Attempt, lastIndex+1)
	a.pieceCount = int64(lastIndex + 1)
	x.ID = point.Request
	x.recordMayHaveRun(true)
	if err := s.checkDrain(x); err != nil {
		return err
	}
	return s.continueStream(x, w, r, a, point)
}

func (s *Server) continueStream(x *Exchange, w http.ResponseWriter, r *http.Request, a *attempt, p resumePoint) error {
	c := &completion{exchange: x, w: w, request: &completionRequest{Chat: p.Chat, Model: p.Ref.Model, Stream: true}}
	sink := s.newStreamSink(x, w)
	a.early = s.keepAnswer(x, a.engine.ID, a.ref.Model)
	sink.setHeaders = func(h http.Header, ref model.Ref) {
		h.Set(headerRequestID, x.ID)
		s.setAnswerHeaders(c, h, ref, a)
	}
	sink.start(a)
	a.startedAt = s.Clock.Now()
	stream, err := s.Engines.Resume(r.Context(), a.address, string(a.ref.Model), a.id, a.sequence.Next()-1)
	if err == nil {
		err = s.relayPieces(a, stream, sink)
	}
	s.recordCost(x, &job{request: c.request}, a, true)
	if err == nil {
		sink.flush()
		if err := s.billComplete(x, a); err != nil {
			return err
		}
		return sink.finish()
	}
	if refused := s.terminalError(r.Context(), x, err, sink); refused != nil {
		s.billIncomplete(x, a, refused)
		return refused
	}
	return refusal.Wrap(refusal.StreamUnknown, err)
}
