// Package session makes the signed tokens that keep a session on its versions.
//
// The model: a session is a list of pins, one for each model it has used. The
// pins travel in a token that the caller returns with each request, so every VM
// can honour them without shared state, also while the store is out. A token is
// signed by HMAC-SHA256 with the newest key; every key of the Keyring verifies
// it, so that keys can be rotated. A token is bound to its client account and
// ends at a fixed time.
//
// A pin never changes its version: Session.WithPin refuses that with ErrPinned.
// Whether a pinned version has been withdrawn is the caller's question;
// Session.Withdrawn helps to ask it.
//
//	ring, err := session.NewKeyring(keys)
//	s, err := ring.Verify(token, account, now)
//	if pin, ok := s.Pin(name); ok { ... }
//	s, err = s.WithPin(session.Pin{Model: name, Version: chosen, Engine: engine})
//	token, err = ring.Sign(s)
package session
