package document

import (
	"bytes"
	"encoding/json"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/strictjson"
)

// Load decodes a document that was validated when it was accepted, without validating
// it again, which costs a node a fraction of Parse. It rejects unknown fields and other
// schema versions, because a newer program wrote them. Errors: strictjson.ErrInvalid, also
// strictjson.ErrTooDeep.
func Load(src []byte) (*Document, error) {
	plain, err := withoutComments(src)
	if err != nil {
		return nil, errorx.Decorate(err, "document")
	}
	doc := &Document{}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(doc); err != nil {
		return nil, strictjson.ErrInvalid.Wrap(err, "document")
	}
	if doc.Schema != SchemaVersion {
		return nil, strictjson.ErrInvalid.New("document has schema version %d, but this program reads only version %d", doc.Schema, SchemaVersion)
	}
	return doc, nil
}

// withoutComments returns src as plain JSON. Text that is plain JSON already, as
// programs write it, is returned as it is.
func withoutComments(src []byte) ([]byte, error) {
	if json.Valid(src) {
		return src, nil
	}
	return strictjson.Standardize(src)
}
