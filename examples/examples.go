// Package examples embeds the example documents.
package examples

import _ "embed"

var (
	// Quickstart is the document of the quick start.
	//
	//go:embed quickstart.json
	Quickstart []byte
	// PermisosViales is the document of a road-works permit office in three regions.
	//
	//go:embed permisos-viales.json
	PermisosViales []byte
	// Hsinchu is the document of a chocolate works in three regions.
	//
	//go:embed hsinchu.json
	Hsinchu []byte
)
