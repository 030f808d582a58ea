// Package account defines client accounts, the customers that requests are
// authenticated, limited and billed as.
package account

import "github.com/poplarshore/poplarshore/contract"

// ID identifies a client account.
type ID string

// Account is the client account of one customer.
type Account struct {
	ID ID `json:"id"`
	// KeySHA256 lists the hexadecimal SHA-256 digests of the account's valid
	// bearer keys.
	KeySHA256 []string `json:"key_sha256"`
	// Contract identifies the contract that applies to the account.
	Contract contract.ID `json:"contract"`
}
