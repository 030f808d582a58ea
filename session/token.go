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
	// MaxToken bounds the length of a token in bytes.
	MaxToken = 4096
	// MinSecret is the least length of a key's secret in bytes.
	MinSecret = 32

	macBytes = 16
	format   = 1
)

// Key is a signing key.
type Key struct {
	// ID names the key within tokens, 1 to 255 bytes.
	ID     string
	Secret []byte
}

// Keyring signs and verifies tokens. It is immutable and safe for concurrent use.
type Keyring struct {
	keys []Key
}

// NewKeyring returns a ring of keys, newest first: the first signs, all verify.
// It returns ErrKey for no keys, short secrets and repeated or bad ids.
func NewKeyring(keys []Key) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, ErrKey.New("there is no key")
	}
	seen := make(map[string]bool)
	for _, k := range keys {
		if k.ID == "" || len(k.ID) > maxText || seen[k.ID] {
			return nil, ErrKey.New("key id %q is empty, too long or repeated", k.ID)
		}
		if len(k.Secret) < MinSecret {
			return nil, ErrKey.New("secret of key %q is shorter than %d bytes", k.ID, MinSecret)
		}
		seen[k.ID] = true
	}
	return &Keyring{keys: append([]Key(nil), keys...)}, nil
}

// Sign returns the token of a session. It returns ErrTooLarge if a name, the
// pins or the token are too long.
func (r *Keyring) Sign(s Session) (string, error) {
	key := r.keys[0]
	text, err := encode(key.ID, s)
	if err != nil {
		return "", err
	}
	text = append(text, mac(key, text)...)
	if base64.RawURLEncoding.EncodedLen(len(text)) > MaxToken {
		return "", ErrTooLarge.New("token is longer than %d bytes", MaxToken)
	}
	return base64.RawURLEncoding.EncodeToString(text), nil
}

// Verify returns the session of a token. It returns ErrInvalid for a token that
// was not signed by a key of the ring, ErrWrongAccount if it belongs to another
// client account and ErrExpired if the session is over.
func (r *Keyring) Verify(token string, acct account.ID, now time.Time) (Session, error) {
	if len(token) > MaxToken {
		return Session{}, ErrInvalid.New("token is longer than %d bytes", MaxToken)
	}
	if strings.ContainsAny(token, "\r\n") {
		return Session{}, ErrInvalid.New("token holds a line break") // which encoding/base64 skips
	}
	text, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil {
		return Session{}, ErrInvalid.Wrap(err, "token is not base64url")
	}
	if len(text) < macBytes {
		return Session{}, ErrInvalid.New("token is cut short")
	}
	body, sum := text[:len(text)-macBytes], text[len(text)-macBytes:]
	if !r.signed(body, sum) {
		return Session{}, ErrInvalid.New("no key has signed the token")
	}
	s, err := decode(body)
	if err != nil {
		return Session{}, err
	}
	return s, s.check(acct, now)
}

func (s Session) check(acct account.ID, now time.Time) error {
	if s.Account != acct {
		return ErrWrongAccount.New("token belongs to another client account")
	}
	if !now.Before(s.Expires) {
		return ErrExpired.New("session ended at %s", s.Expires.UTC().Format(time.RFC3339))
	}
	return nil
}

// signed tells whether the key that the token names has signed it.
func (r *Keyring) signed(body, sum []byte) bool {
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
func mac(k Key, text []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write(text)
	return h.Sum(nil)[:macBytes]
}
