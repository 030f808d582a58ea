// Package domain describes failure domains and the regions that they belong to.
package domain

// ID identifies a failure domain.
type ID string

// Region is the name of a region.
type Region string

// Domain is a failure domain: a set of VMs and upstreams that may fail at the same
// time for a common cause.
type Domain struct {
	// ID is unique within a configuration document.
	ID ID `json:"id"`
	// Region is the region that the failure domain is in.
	Region Region `json:"region"`
}
