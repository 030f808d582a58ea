// Package sessions adapts signed session tokens to the entry.
package sessions

import (
	"math/rand/v2"
	"strconv"
	"time"

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

// oldRouterModel is the pin of sessions that were begun on the older router.
// No model can have this name.
const oldRouterModel = model.Name("\x00old-router")

// Sessions implements entry.Sessions.
type Sessions struct {
	secrets map[string][]byte
	clock   clockwork.Clock
}

// New returns sessions that are signed by the secrets, by key name.
func New(secrets map[string][]byte, clock clockwork.Clock) *Sessions {
	return &Sessions{secrets: secrets, clock: clock}
}

// keyring returns the ring of the keys that the document names.
func (s *Sessions) keyring(x *document.Index) (*session.Keyring, error) {
	var keys []session.Key
	for _, name := range x.Doc.Session.Keys {
		if secret, ok := s.secrets[name]; ok {
			keys = append(keys, session.Key{ID: name, Secret: secret})
		}
	}
	return session.NewKeyring(keys)
}

// Verify implements entry.Sessions.
func (s *Sessions) Verify(x *document.Index, id account.ID, token string) (entry.Pins, error) {
	ring, err := s.keyring(x)
	if err != nil {
		return entry.Pins{}, refusal.Because(refusal.SessionInvalid, err)
	}
	found, err := ring.Verify(token, id, s.clock.Now())
	switch {
	case errorx.IsOfType(err, session.ErrExpired):
		return entry.Pins{}, refusal.Because(refusal.SessionExpired, err)
	case err != nil:
		return entry.Pins{}, refusal.Because(refusal.SessionInvalid, err)
	}
	return pins(found), nil
}

func pins(found session.Session) entry.Pins {
	p := entry.Pins{
		ID: strconv.FormatUint(uint64(found.ID), 16), Expires: found.Expires,
		Version: make(map[model.Name]model.VersionID), Engine: make(map[model.Name]upstream.ID),
	}
	for _, pin := range found.Pins {
		if pin.Model == oldRouterModel {
			p.Old = true
			continue
		}
		p.Version[pin.Model] = pin.Version
		p.Engine[pin.Model] = pin.Engine
	}
	return p
}

// Sign implements entry.Sessions.
func (s *Sessions) Sign(x *document.Index, id account.ID, p entry.Pins) (string, error) {
	ring, err := s.keyring(x)
	if err != nil {
		return "", err
	}
	number, err := strconv.ParseUint(p.ID, 16, 64)
	if err != nil {
		number = rand.Uint64()
	}
	signed := session.New(session.ID(number), id, s.clock.Now(), time.Duration(x.Doc.Session.TTLSeconds)*time.Second)
	if !p.Expires.IsZero() {
		signed.Expires = p.Expires
	}
	if p.Old {
		signed.Pins = append(signed.Pins, session.Pin{Model: oldRouterModel})
	}
	for name, version := range p.Version {
		signed.Pins = append(signed.Pins, session.Pin{Model: name, Version: version, Engine: p.Engine[name]})
	}
	return ring.Sign(signed)
}
