// Package account describes client accounts.
package account

import "github.com/poplarshore/poplarshore/contract"

// ID names a client account.
type ID string

// Account is one customer's account.
type Account struct {
	ID ID `json:"id"`
	// KeySHA256 holds the hexadecimal SHA-256 of each bearer key in use.
	KeySHA256 []string    `json:"key_sha256"`
	Contract  contract.ID `json:"contract"`
}
