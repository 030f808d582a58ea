package once

import "net/url"

// maxKeyPartBytes is the maximum length of the account, of the idempotency key and of
// the fingerprint, each.
const maxKeyPartBytes = 256

// Key identifies a request that is to run at most once.
type Key struct {
	// Account is the client account, of 1 to 256 bytes. Keys of different accounts
	// are independent.
	Account string
	// ID is the idempotency key chosen by the client, of 1 to 256 bytes.
	ID string
}

func (k Key) validate(fingerprint string) error {
	for _, part := range []string{k.Account, k.ID, fingerprint} {
		if part == "" || len(part) > maxKeyPartBytes {
			return ErrInvalidKey.New("account, key and fingerprint must each have 1 to %d bytes, got %d",
				maxKeyPartBytes, len(part))
		}
	}
	return nil
}

// rowKey returns the row key without the prefix. Both parts are escaped, so that
// different keys never map to the same row.
func (k Key) rowKey() string {
	return url.PathEscape(k.Account) + "/" + url.PathEscape(k.ID)
}
