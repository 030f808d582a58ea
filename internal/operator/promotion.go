package operator

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/model"
)

// Promotion signs documents in the trial environment and verifies the signatures in
// production. The zero value does neither.
type Promotion struct {
	// Signs is set in the trial environment.
	Signs bool
	// Verifies is set in production.
	Verifies bool
	// Key is the HMAC key that both environments share.
	Key []byte
}

// mac returns the HMAC-SHA256 of a document's hash.
func (p Promotion) mac(hash string) []byte {
	m := hmac.New(sha256.New, p.Key)
	_, _ = m.Write([]byte("accepted:" + hash))
	return m.Sum(nil)
}

// sign returns the hexadecimal signature of a document's hash, or "" outside the trial
// environment.
func (p Promotion) sign(hash string) string {
	if !p.Signs {
		return ""
	}
	return hex.EncodeToString(p.mac(hash))
}

// verify reports whether a document with the given hash may be published here: if proof is
// its signature, and outside production always.
func (p Promotion) verify(hash, proof string) bool {
	if !p.Verifies {
		return true
	}
	given, err := hex.DecodeString(proof)
	return err == nil && hmac.Equal(given, p.mac(hash))
}

// unlistedReinstatement returns a version that is withdrawn in the document in force, is
// declared but not withdrawn in doc, and is not in the comma-separated list allowed. It
// returns "" if there is none.
func (s *Server) unlistedReinstatement(doc *document.Document, allowed string) string {
	_, body := s.opts.Node.Current()
	current, err := document.Parse(body)
	if err != nil {
		return ""
	}
	allowedRefs := make(map[model.Ref]bool)
	for _, w := range doc.Withdrawals {
		allowedRefs[w.Version] = true
	}
	for _, name := range strings.Split(allowed, ",") {
		var ref model.Ref
		_ = ref.UnmarshalText([]byte(strings.TrimSpace(name)))
		allowedRefs[ref] = true
	}
	next := document.NewIndex(0, doc)
	for _, w := range current.Withdrawals {
		if !allowedRefs[w.Version] && next.Version(w.Version) != nil {
			return w.Version.String()
		}
	}
	return ""
}
