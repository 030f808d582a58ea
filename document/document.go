package document

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/link"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/service"
	"github.com/poplarshore/poplarshore/strictjson"
	"github.com/poplarshore/poplarshore/takeover"
	"github.com/poplarshore/poplarshore/upstream"
)

// SchemaVersion is the schema that this program reads.
const SchemaVersion = 1

// MaxBytes bounds the size of a document.
const MaxBytes = 16 << 20

// Session says how session tokens are signed.
type Session struct {
	// Keys names the signing keys, newest first. The first signs; all verify.
	Keys []string `json:"keys"`
	// TTLSeconds is the life of a session in seconds.
	TTLSeconds int64 `json:"ttl_seconds"`
}

// Withdrawal takes a version out of service.
type Withdrawal struct {
	Version model.Ref `json:"version"`
	Reason  string    `json:"reason"`
	// Force allows the withdrawal of a model's last version.
	Force bool `json:"force,omitempty"`
}

// Document is the configuration of an environment.
type Document struct {
	// Schema is the schema version, SchemaVersion.
	Schema      int                 `json:"schema"`
	Regions     []domain.Region     `json:"regions"`
	Domains     []domain.Domain     `json:"domains"`
	Links       []link.Link         `json:"links,omitempty"`
	Accounts    []account.Account   `json:"accounts"`
	Contracts   []contract.Contract `json:"contracts"`
	Models      []model.Model       `json:"models,omitempty"`
	Cascades    []model.Cascade     `json:"cascades,omitempty"`
	Services    []service.Service   `json:"services,omitempty"`
	Upstreams   []upstream.Upstream `json:"upstreams"`
	Rollouts    []rollout.Plan      `json:"rollouts,omitempty"`
	Withdrawals []Withdrawal        `json:"withdrawals,omitempty"`
	Session     Session             `json:"session,omitzero"`
	Takeover    takeover.Config     `json:"takeover,omitzero"`
}

// Parse decodes and validates a document. On error it returns ErrInvalid of
// strictjson, which lists every fault.
func Parse(src []byte) (*Document, error) {
	doc, faults := Check(src)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Check decodes and validates a document and returns every fault.
func Check(src []byte) (*Document, strictjson.Faults) {
	if len(src) > MaxBytes {
		return nil, strictjson.Faults{{Line: 1, Column: 1, Message: "document is larger than 16 MiB"}}
	}
	doc := &Document{}
	text := strictjson.Decode(src, doc)
	if len(text.Faults()) > 0 {
		return nil, text.Faults()
	}
	validate(doc, text)
	return doc, text.Faults()
}

// Hash returns the hexadecimal SHA-256 of a document's bytes.
func Hash(src []byte) string {
	sum := sha256.Sum256(src)
	return hex.EncodeToString(sum[:])
}
