// Package examples embeds the example documents.
package examples

import _ "embed"

// Quickstart is the document of the quick start.
//
//go:embed quickstart.json
var Quickstart []byte
