// Package session signs and verifies the tokens that pin a session to model versions.
//
// A session is a list of pins, one for each model that it has used. The pins are
// encoded in a token that the caller returns with each request, so every VM can apply
// them without shared state, even while the store is unavailable. A token is signed by
// HMAC-SHA256 with the newest key; all keys of the Keyring verify it, so that keys can
// be rotated. A token is bound to its client account and expires at a fixed time.
//
// The version of a pin never changes: Session.WithPin rejects a change with ErrPinned.
// The package does not know which versions are withdrawn; callers check this with
// Session.Withdrawn.
//
//	ring, err := session.NewKeyring(keys)
//	s, err := ring.Verify(token, account, now)
//	if pin, ok := s.Pin(name); ok { ... }
//	s, err = s.WithPin(session.Pin{Model: name, Version: chosen, Engine: engine})
//	token, err = ring.Sign(s)
package session
