// Package vm describes entry VMs, the machines the system itself runs on.
package vm

import "github.com/poplarshore/poplarshore/domain"

// ID names an entry VM.
type ID string

// Incarnation names one life of a process on a VM; a restart begins a new one.
type Incarnation string

// VM is an entry VM.
type VM struct {
	ID     ID            `json:"id"`
	Domain domain.ID     `json:"domain"`
	Region domain.Region `json:"region"`
	// PeerURL is where other entry VMs reach this one.
	PeerURL string `json:"peer_url"`
}
