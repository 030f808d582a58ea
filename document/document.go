package document

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

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

// SchemaVersion is the only schema version that this program reads.
const SchemaVersion = 1

// MaxBytes is the maximum size of a document in bytes, 16 MiB.
const MaxBytes = 16 << 20

// MaxTTLSeconds is the maximum of Session.TTLSeconds, 366 days. TTL treats higher values as
// this one.
const MaxTTLSeconds = 366 * 24 * 60 * 60

// Session configures session tokens.
type Session struct {
	// Keys names the signing keys, newest first. New tokens are signed with the
	// first; tokens signed with any of them are accepted.
	Keys []string `json:"keys"`
	// TTLSeconds is the lifetime of a session in seconds. It must be positive if
	// Keys is not empty.
	TTLSeconds int64 `json:"ttl_seconds"`
}

// TTL returns the lifetime of a session.
func (s Session) TTL() time.Duration {
	return time.Duration(min(s.TTLSeconds, MaxTTLSeconds)) * time.Second
}

// Withdrawal takes a version of a model out of service: it gets no new requests.
type Withdrawal struct {
	// Version is the withdrawn version.
	Version model.Ref `json:"version"`
	// Reason is for operators.
	Reason string `json:"reason"`
	// Force allows the withdrawal of the last version of a model.
	Force bool `json:"force,omitempty"`
}

// Document is the configuration of an environment.
type Document struct {
	// Schema is the schema version. It must be SchemaVersion.
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

// Parse decodes and validates a document. Errors: strictjson.ErrInvalid, which lists
// all faults.
func Parse(src []byte) (*Document, error) {
	doc, faults := Check(src)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Check decodes and validates a document and returns all faults. If there are any, the
// returned document must not be used and may be nil.
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

// Hash returns the SHA-256 hash of the document as lower-case hexadecimal digits.
func Hash(src []byte) string {
	sum := sha256.Sum256(src)
	return hex.EncodeToString(sum[:])
}
