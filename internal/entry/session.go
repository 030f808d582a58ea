package entry

import (
	"net/http"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/upstream"
)

// newSession is the value of the session header that starts a session.
const newSession = "new"

// openSession starts or resumes the session that the request's session header names, if
// it has that header.
func (s *Server) openSession(c *completion, r *http.Request) error {
	switch value := r.Header.Get(headerSession); value {
	case "":
		return nil
	case newSession:
		if len(c.exchange.Index.Doc.Session.Keys) == 0 {
			return refusal.New(refusal.SessionInvalid).With("This environment has no sessions.")
		}
		c.pins = Pins{ID: s.NewSessionID()}
	default:
		pins, err := s.Sessions.Verify(c.exchange.Index, c.exchange.Client.Account, value)
		if err != nil {
			return err
		}
		c.pins = pins
	}
	c.inSession = true
	return nil
}

// pin pins the model's version and records its engine as the preferred one.
func (p *Pins) pin(ref model.Ref, engine upstream.ID) {
	if p.Version == nil {
		p.Version = make(map[model.Name]model.VersionID)
	}
	if p.Engine == nil {
		p.Engine = make(map[model.Name]upstream.ID)
	}
	p.Version[ref.Model] = ref.Version
	p.Engine[ref.Model] = engine
}
