package session

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

var ns = errorx.NewNamespace("session")

// Errors returned by this package.
var (
	// ErrInvalid reports a token that is malformed or not signed by a key of the
	// keyring.
	ErrInvalid = ns.NewType("invalid")
	// ErrExpired reports a token whose session has expired.
	ErrExpired = ns.NewType("expired")
	// ErrWrongAccount reports a token that was issued to another client account.
	ErrWrongAccount = ns.NewType("wrong_account")
	// ErrPinned reports an attempt to change the version of a pin.
	ErrPinned = ns.NewType("pinned")
	// ErrTooLarge reports a session that exceeds MaxTokenBytes, MaxPins or the maximum
	// length of a string, 255 bytes.
	ErrTooLarge = ns.NewType("too_large")
	// ErrKey reports unusable signing keys.
	ErrKey = ns.NewType("key")
)

// MaxPins is the maximum number of pins of a session.
const MaxPins = 16

// ID identifies a session. It is random and constant for the lifetime of the session.
type ID uint64

// Pin pins a session's requests for a model to one version.
type Pin struct {
	Model   model.Name
	Version model.VersionID
	// Engine is the preferred upstream, chosen for its cache; empty for none.
	Engine upstream.ID
}

// Ref returns the pinned version.
func (p Pin) Ref() model.Ref { return model.Ref{Model: p.Model, Version: p.Version} }

// Session is the content of a token.
type Session struct {
	ID      ID
	Account account.ID
	// Expires is the time at which the session expires, in whole seconds.
	Expires time.Time
	Pins    []Pin
}

// New returns a session without pins that expires after ttl.
func New(id ID, acct account.ID, now time.Time, ttl time.Duration) Session {
	return Session{ID: id, Account: acct, Expires: now.Add(ttl).Truncate(time.Second)}
}

// Pin returns the pin of a model, and false if there is none.
func (s Session) Pin(name model.Name) (Pin, bool) {
	for _, p := range s.Pins {
		if p.Model == name {
			return p, true
		}
	}
	return Pin{}, false
}

// WithPin returns a copy of the session with the pin added or, if the model is already
// pinned to this version, with its engine replaced. It returns ErrPinned if the model
// is pinned to another version and ErrTooLarge if the session has MaxPins pins.
func (s Session) WithPin(pin Pin) (Session, error) {
	pins := append(make([]Pin, 0, len(s.Pins)+1), s.Pins...)
	for i, p := range pins {
		if p.Model != pin.Model {
			continue
		}
		if p.Version != pin.Version {
			return s, ErrPinned.New("session is pinned to %s, not %s", p.Ref(), pin.Ref())
		}
		pins[i] = pin
		s.Pins = pins
		return s, nil
	}
	if len(pins) == MaxPins {
		return s, ErrTooLarge.New("session already has the maximum of %d pins", MaxPins)
	}
	s.Pins = append(pins, pin)
	return s, nil
}

// Withdrawn returns the first pinned version for which withdrawn returns true, and
// false if there is none.
func (s Session) Withdrawn(withdrawn func(model.Ref) bool) (model.Ref, bool) {
	for _, p := range s.Pins {
		if withdrawn(p.Ref()) {
			return p.Ref(), true
		}
	}
	return model.Ref{}, false
}
