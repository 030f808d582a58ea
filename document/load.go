package document

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/tailscale/hujson"

	"github.com/poplarshore/poplarshore/strictjson"
)

// Load decodes a document that was checked when it was accepted, without
// checking it again: it costs a node a fraction of Parse. Unknown fields and
// another schema are refused, as they come from a newer program. Errors:
// ErrInvalid of strictjson.
func Load(src []byte) (*Document, error) {
	plain, err := withoutComments(src)
	if err != nil {
		return nil, strictjson.ErrInvalid.Wrap(err, "document")
	}
	doc := &Document{}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(doc); err != nil {
		return nil, strictjson.ErrInvalid.Wrap(err, "document")
	}
	if doc.Schema != SchemaVersion {
		return nil, strictjson.ErrInvalid.New("document has schema %d, this program reads %d", doc.Schema, SchemaVersion)
	}
	return doc, nil
}

// withoutComments returns the text as plain JSON. Text that is plain already,
// as programs write it, is not taken apart.
func withoutComments(src []byte) ([]byte, error) {
	if json.Valid(src) {
		return src, nil
	}
	return hujson.Standardize(slices.Clone(src))
}
