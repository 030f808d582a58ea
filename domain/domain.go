// Package domain describes failure domains and the regions that hold them.
package domain

// ID names a failure domain.
type ID string

// Region names a region.
type Region string

// Domain is a failure domain: VMs and upstreams that fail together.
type Domain struct {
	// ID is unique in the document.
	ID ID `json:"id"`
	// Region holds the failure domain.
	Region Region `json:"region"`
}
