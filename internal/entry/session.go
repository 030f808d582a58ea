package entry

import (
	"net/http"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/upstream"
)

// newSession is the header value with which a caller begins a session.
const newSession = "new"

// openSession reads the caller's session header.
func (s *Server) openSession(c *completion, r *http.Request) error {
	switch value := r.Header.Get(headerSession); value {
	case "":
		return nil
	case newSession:
		if len(c.x.Index.Doc.Session.Keys) == 0 {
			return refusal.New(refusal.SessionInvalid).With("This environment has no sessions.")
		}
		c.pins = Pins{ID: s.NewSessionID()}
	default:
		pins, err := s.Sessions.Verify(c.x.Index, c.x.Client.Account, value)
		if err != nil {
			return err
		}
		c.pins = pins
	}
	c.inSession = true
	return nil
}

// pin keeps the version, and the engine as a preference.
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
