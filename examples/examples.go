// Package examples embeds the example configuration documents.
package examples

import _ "embed"

var (
	// Quickstart is the document of the quick start: one region and the client account "demo".
	//
	//go:embed quickstart.json
	Quickstart []byte
	// PermisosViales is the document of an office for road-works permits, with three regions.
	//
	//go:embed permisos-viales.json
	PermisosViales []byte
	// Hsinchu is the document of a chocolate factory, with three regions.
	//
	//go:embed hsinchu.json
	Hsinchu []byte
)
