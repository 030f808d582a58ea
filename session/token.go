package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/account"
)

const (
	// MaxTokenBytes is the maximum length of an encoded token.
	MaxTokenBytes = 4096
	// MinSecretBytes is the minimum length of a key's secret.
	MinSecretBytes = 32

	macBytes = 16
	// formatVersion is the first byte of a token's body.
	formatVersion = 1
)

// Key is a signing key.
type Key struct {
	// ID identifies the key in tokens, 1 to 255 bytes.
	ID string
	// Secret is the HMAC key, at least MinSecretBytes long.
	Secret []byte
}

// Keyring signs and verifies tokens. It is immutable and safe for concurrent use.
type Keyring struct {
	keys []Key
}

// NewKeyring returns a Keyring of the keys, newest first: the first one signs, all
// verify. It returns ErrKey if there are no keys, if a secret is too short, or if an id
// is empty, too long or repeated.
func NewKeyring(keys []Key) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, ErrKey.New("keyring needs at least one key")
	}
	seen := make(map[string]bool)
	for _, k := range keys {
		if k.ID == "" || len(k.ID) > maxStringBytes || seen[k.ID] {
			return nil, ErrKey.New("key id %q is empty, too long or repeated", k.ID)
		}
		if len(k.Secret) < MinSecretBytes {
			return nil, ErrKey.New("secret of key %q is shorter than %d bytes", k.ID, MinSecretBytes)
		}
		seen[k.ID] = true
	}
	return &Keyring{keys: append([]Key(nil), keys...)}, nil
}

// Sign returns the signed token of a session. It returns ErrTooLarge if a string or the
// token is too long or there are too many pins.
func (r *Keyring) Sign(s Session) (string, error) {
	key := r.keys[0]
	payload, err := encode(key.ID, s)
	if err != nil {
		return "", err
	}
	payload = append(payload, mac(key, payload)...)
	if base64.RawURLEncoding.EncodedLen(len(payload)) > MaxTokenBytes {
		return "", ErrTooLarge.New("token is longer than %d bytes", MaxTokenBytes)
	}
	return base64.RawURLEncoding.EncodeToString(payload), nil
}

// Verify returns the session of a token. It returns ErrInvalid if the token is malformed
// or not signed by a key of the keyring, ErrWrongAccount if it was issued to another
// client account, and ErrExpired if the session has expired.
func (r *Keyring) Verify(token string, acct account.ID, now time.Time) (Session, error) {
	if len(token) > MaxTokenBytes {
		return Session{}, ErrInvalid.New("token is longer than %d bytes", MaxTokenBytes)
	}
	if strings.ContainsAny(token, "\r\n") {
		return Session{}, ErrInvalid.New("token contains a line break") // encoding/base64 would skip it
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil {
		return Session{}, ErrInvalid.Wrap(err, "token is not base64url")
	}
	if len(raw) < macBytes {
		return Session{}, ErrInvalid.New("token is truncated")
	}
	body, sum := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !r.hasValidMAC(body, sum) {
		return Session{}, ErrInvalid.New("token is not signed by a known key")
	}
	s, err := decode(body)
	if err != nil {
		return Session{}, err
	}
	return s, s.check(acct, now)
}

// check returns an error if the session belongs to another account or has expired.
func (s Session) check(acct account.ID, now time.Time) error {
	if s.Account != acct {
		return ErrWrongAccount.New("token belongs to another client account")
	}
	if !now.Before(s.Expires) {
		return ErrExpired.New("session expired at %s", s.Expires.UTC().Format(time.RFC3339))
	}
	return nil
}

// hasValidMAC reports whether the MAC was computed with the key that the body names.
func (r *Keyring) hasValidMAC(body, sum []byte) bool {
	id, ok := keyID(body)
	if !ok {
		return false
	}
	for _, k := range r.keys {
		if k.ID == id {
			return hmac.Equal(sum, mac(k, body))
		}
	}
	return false
}

// mac returns HMAC-SHA256 truncated to 128 bits (RFC 2104, section 5).
func mac(k Key, data []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}
