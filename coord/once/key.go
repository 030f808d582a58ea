package once

import "net/url"

// maxPartBytes bounds the account and the idempotency key, and the fingerprint.
const maxPartBytes = 256

// Key names a request that runs at most once.
type Key struct {
	// Account is the client account.
	Account string
	// ID is the idempotency key that the client chose.
	ID string
}

func (k Key) validate(fingerprint string) error {
	for _, part := range []string{k.Account, k.ID, fingerprint} {
		if part == "" || len(part) > maxPartBytes {
			return ErrKey.New("account, key and fingerprint have 1 to %d bytes, not %d", maxPartBytes, len(part))
		}
	}
	return nil
}

// path escapes both parts, so that no two keys share a row.
func (k Key) path() string {
	return url.PathEscape(k.Account) + "/" + url.PathEscape(k.ID)
}
