package quarantine

import (
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/account"
)

var namespace = errorx.NewNamespace("quarantine")

// ErrInvalidKey reports a text that is no Key.
var ErrInvalidKey = namespace.NewType("invalid_key")

// Kind is what a Key identifies.
type Kind string

// The kinds.
const (
	// PromptPart is a part of a prompt that several requests share.
	PromptPart Kind = "part"
	// WholeRequest is a request that may come again unchanged.
	WholeRequest Kind = "request"
)

// Key identifies what is kept out.
type Key struct {
	Kind   Kind
	Digest uint64
}

// Compare orders keys by kind and digest.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Digest, o.Digest))
}

// digestBase is the base of a digest in the text form of a Key.
const digestBase = 16

// String returns the key as KIND-DIGEST.
func (k Key) String() string { return string(k.Kind) + "-" + strconv.FormatUint(k.Digest, digestBase) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Errors: ErrInvalidKey.
func (k *Key) UnmarshalText(text []byte) error {
	kind, digest, found := strings.Cut(string(text), "-")
	n, err := strconv.ParseUint(digest, digestBase, 64)
	if !found || kind == "" || err != nil {
		return ErrInvalidKey.New("expected KIND-DIGEST with a hexadecimal digest, got %q", text)
	}
	*k = Key{Kind: Kind(kind), Digest: n}
	return nil
}

// Digester computes keys. All VMs must use the same secret.
type Digester struct{ secret []byte }

// NewDigester returns a Digester with the secret.
func NewDigester(secret string) *Digester { return &Digester{secret: []byte(secret)} }

// Part returns the key of a part of a prompt, given its ID.
func (d *Digester) Part(id string) Key {
	return Key{Kind: PromptPart, Digest: d.digest(PromptPart, id)}
}

// Request is what identifies a request that comes again.
type Request struct {
	Method string
	// Host and Target are those of the request line, with the query string.
	Host, Target string
	Account      account.ID
	Body         []byte
}

// Request returns the key of a request.
func (d *Digester) Request(r Request) Key {
	return Key{Kind: WholeRequest, Digest: d.digest(WholeRequest, r.Method, r.Host, r.Target, string(r.Account), string(r.Body))}
}

// digest returns the keyed digest of a kind and some texts. Each text is preceded by its
// length, so that different texts don't concatenate to the same input.
func (d *Digester) digest(kind Kind, texts ...string) uint64 {
	mac := hmac.New(sha256.New, d.secret)
	// Writing to a hash never returns an error.
	_, _ = mac.Write([]byte(kind))
	for _, text := range texts {
		_, _ = mac.Write(binary.AppendUvarint(nil, uint64(len(text))))
		_, _ = mac.Write([]byte(text))
	}
	return binary.BigEndian.Uint64(mac.Sum(nil))
}
