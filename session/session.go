package session

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

var ns = errorx.NewNamespace("session")

// The errors of this package.
var (
	// ErrInvalid is returned for a token that no key of the ring has signed.
	ErrInvalid = ns.NewType("invalid")
	// ErrExpired is returned for a token whose session is over.
	ErrExpired = ns.NewType("expired")
	// ErrWrongAccount is returned for a token of another client account.
	ErrWrongAccount = ns.NewType("wrong_account")
	// ErrPinned is returned when a pin would change its version.
	ErrPinned = ns.NewType("pinned")
	// ErrTooLarge is returned when a token would exceed MaxToken or MaxPins.
	ErrTooLarge = ns.NewType("too_large")
	// ErrKey is returned for unusable keys.
	ErrKey = ns.NewType("key")
)

// MaxPins bounds the pins of a session.
const MaxPins = 16

// ID names a session; it is random and stays the same for its whole life.
type ID uint64

// Pin keeps a session's requests for a model on one version.
type Pin struct {
	Model   model.Name
	Version model.VersionID
	// Engine is the upstream preferred for its cache; empty for none.
	Engine upstream.ID
}

// Ref returns the pinned version.
func (p Pin) Ref() model.Ref { return model.Ref{Model: p.Model, Version: p.Version} }

// Session is the content of a token.
type Session struct {
	ID      ID
	Account account.ID
	// Expires is when the session ends, in whole seconds.
	Expires time.Time
	Pins    []Pin
}

// New returns a session without pins that lives for ttl.
func New(id ID, acct account.ID, now time.Time, ttl time.Duration) Session {
	return Session{ID: id, Account: acct, Expires: now.Add(ttl).Truncate(time.Second)}
}

// Pin returns the pin of a model.
func (s Session) Pin(name model.Name) (Pin, bool) {
	for _, p := range s.Pins {
		if p.Model == name {
			return p, true
		}
	}
	return Pin{}, false
}

// WithPin returns a copy with the pin added, or with its engine replaced. It
// returns ErrPinned if the model is pinned to another version and ErrTooLarge
// for too many pins.
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
		return s, ErrTooLarge.New("session has %d pins", MaxPins)
	}
	s.Pins = append(pins, pin)
	return s, nil
}

// Withdrawn returns the first pinned version that is withdrawn.
func (s Session) Withdrawn(withdrawn func(model.Ref) bool) (model.Ref, bool) {
	for _, p := range s.Pins {
		if withdrawn(p.Ref()) {
			return p.Ref(), true
		}
	}
	return model.Ref{}, false
}
