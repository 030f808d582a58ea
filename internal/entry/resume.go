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

// resumePoint is the content of a resume token: all that another VM needs to
// go on with a stream.
type resumePoint struct {
	Request string      `json:"r"`
	Account account.ID  `json:"a"`
	Attempt string      `json:"t"`
	Engine  upstream.ID `json:"e"`
	Ref     model.Ref   `json:"v"`
	Chat    bool        `json:"c,omitempty"`
	Prompt  int64       `json:"p"`
}

// resumeToken returns the signed token with which a caller can go on with its
// stream at any VM.
func (s *Server) resumeToken(c *completion, a *attempt) string {
	payload, _ := json.Marshal(resumePoint{
		Request: c.x.ID, Account: c.x.Client.Account, Attempt: a.id, Engine: a.engine.ID, Ref: a.ref,
		Chat: c.request.Chat, Prompt: c.request.PromptTokens(),
	})
	return base64.RawURLEncoding.EncodeToString(append(s.sign(payload), payload...))
}

func (s *Server) sign(payload []byte) []byte {
	mac := hmac.New(sha256.New, s.ResumeKey)
	mac.Write(payload)
	return mac.Sum(nil)
}

func (s *Server) verifyResume(x *Exchange, token string) (resumePoint, error) {
	var p resumePoint
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) < sha256.Size {
		return p, refusal.New(refusal.StreamUnknown)
	}
	mac, payload := raw[:sha256.Size], raw[sha256.Size:]
	if !hmac.Equal(mac, s.sign(payload)) || json.Unmarshal(payload, &p) != nil {
		return p, refusal.New(refusal.StreamUnknown)
	}
	if p.Account != x.Client.Account {
		return p, refusal.New(refusal.StreamUnknown)
	}
	return p, nil
}

// resumeStream goes on with a stream whose VM was lost. The caller names the
// last piece it has in Last-Event-ID. The request keeps its id, so that it is
// billed once however often it is resumed.
func (s *Server) resumeStream(x *Exchange, w http.ResponseWriter, r *http.Request) error {
	point, err := s.verifyResume(x, r.PathValue("token"))
	if err != nil {
		return err
	}
	last := -1
	if id := r.Header.Get("Last-Event-ID"); id != "" {
		if last, err = strconv.Atoi(id); err != nil || last < 0 {
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
	a.sequence = sequence.New(point.Attempt, last+1)
	a.pieces = int64(last + 1)
	x.ID = point.Request
	x.noteRun(true)
	return s.continueStream(x, w, r, a, point)
}

func (s *Server) continueStream(x *Exchange, w http.ResponseWriter, r *http.Request, a *attempt, p resumePoint) error {
	c := &completion{x: x, w: w, request: &completionRequest{Chat: p.Chat, Model: p.Ref.Model, Stream: true}}
	out := &streamSink{w: w, onBegin: func() {}}
	out.headers = func(h http.Header, ref model.Ref) {
		h.Set(headerRequestID, x.ID)
		s.answerHeaders(c, h, ref, a)
	}
	out.start(a)
	a.began = s.Clock.Now()
	stream, err := s.Engines.Resume(r.Context(), a.address, a.id, a.sequence.Next()-1)
	if err == nil {
		err = s.relay(a, stream, out)
	}
	s.account(x, &job{request: c.request}, a, true)
	if err == nil {
		out.flush()
		if err := s.bill(x, a); err != nil {
			return err
		}
		return out.end()
	}
	if why := s.final(r.Context(), x, err, out); why != nil {
		s.billPart(x, a, why)
		return why
	}
	return refusal.Wrap(refusal.StreamUnknown, err)
}
