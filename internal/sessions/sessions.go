// Package sessions implements entry.Sessions with the signed tokens of package
// session.
package sessions

import (
	"math/rand/v2"
	"strconv"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/internal/entry"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/session"
	"github.com/poplarshore/poplarshore/upstream"
)

// oldRouterModel is the model name of the pin that marks a session as started on the
// older router. No real model can have this name.
const oldRouterModel = model.Name("\x00old-router")

// Sessions implements entry.Sessions. It is safe for concurrent use.
type Sessions struct {
	// secrets maps key names to signing secrets.
	secrets map[string][]byte
	clock   clockwork.Clock
}

// New returns a Sessions that signs and verifies with the given secrets, keyed by key
// name. Of these it uses the keys that the configuration document lists.
func New(secrets map[string][]byte, clock clockwork.Clock) *Sessions {
	return &Sessions{secrets: secrets, clock: clock}
}

// keyring returns the keyring of the keys that the document lists and that have a
// known secret.
func (s *Sessions) keyring(index *document.Index) (*session.Keyring, error) {
	var keys []session.Key
	for _, name := range index.Doc.Session.Keys {
		if secret, ok := s.secrets[name]; ok {
			keys = append(keys, session.Key{ID: name, Secret: secret})
		}
	}
	return session.NewKeyring(keys)
}

// Verify implements entry.Sessions. It returns a *refusal.Refusal with reason
// SessionExpired or SessionInvalid.
func (s *Sessions) Verify(index *document.Index, id account.ID, token string) (entry.Pins, error) {
	ring, err := s.keyring(index)
	if err != nil {
		return entry.Pins{}, refusal.Wrap(refusal.SessionInvalid, err)
	}
	verified, err := ring.Verify(token, id, s.clock.Now())
	switch {
	case errorx.IsOfType(err, session.ErrExpired):
		return entry.Pins{}, refusal.Wrap(refusal.SessionExpired, err)
	case err != nil:
		return entry.Pins{}, refusal.Wrap(refusal.SessionInvalid, err)
	}
	return pins(verified), nil
}

// pins converts a verified session.
func pins(verified session.Session) entry.Pins {
	p := entry.Pins{
		ID: strconv.FormatUint(uint64(verified.ID), 16), Expires: verified.Expires,
		Version: make(map[model.Name]model.VersionID), Engine: make(map[model.Name]upstream.ID),
	}
	for _, pin := range verified.Pins {
		if pin.Model == oldRouterModel {
			p.OnOldRouter = true
			continue
		}
		p.Version[pin.Model] = pin.Version
		p.Engine[pin.Model] = pin.Engine
	}
	return p
}

// Sign implements entry.Sessions. Pins without a valid ID get a new random session ID,
// and pins without an expiry get the TTL of the document.
func (s *Sessions) Sign(index *document.Index, id account.ID, p entry.Pins) (string, error) {
	ring, err := s.keyring(index)
	if err != nil {
		return "", err
	}
	sessionID, err := strconv.ParseUint(p.ID, 16, 64)
	if err != nil {
		sessionID = rand.Uint64()
	}
	signed := session.New(session.ID(sessionID), id, s.clock.Now(), index.Doc.Session.TTL())
	if !p.Expires.IsZero() {
		signed.Expires = p.Expires
	}
	if p.OnOldRouter {
		signed.Pins = append(signed.Pins, session.Pin{Model: oldRouterModel})
	}
	for name, version := range p.Version {
		signed.Pins = append(signed.Pins, session.Pin{Model: name, Version: version, Engine: p.Engine[name]})
	}
	return ring.Sign(signed)
}
