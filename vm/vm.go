// Package vm describes entry VMs: the machines that the router itself runs on.
package vm

import "github.com/poplarshore/poplarshore/domain"

// ID identifies an entry VM.
type ID string

// Incarnation identifies one run of the process on a VM; each restart gets a new
// one.
type Incarnation string

// VM is an entry VM.
type VM struct {
	ID     ID            `json:"id"`
	Domain domain.ID     `json:"domain"`
	Region domain.Region `json:"region"`
	// PeerURL is the base URL at which other entry VMs reach this one.
	PeerURL string `json:"peer_url"`
}
