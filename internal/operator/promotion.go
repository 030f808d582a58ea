package operator

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/model"
)

// Promotion signs documents in the trial environment and verifies them in
// production. The zero Promotion does neither.
type Promotion struct {
	// Signs tells that this is the trial environment.
	Signs bool
	// Verifies tells that this is production.
	Verifies bool
	Key      []byte
}

func (p Promotion) mac(hash string) []byte {
	m := hmac.New(sha256.New, p.Key)
	_, _ = m.Write([]byte("accepted:" + hash))
	return m.Sum(nil)
}

func (p Promotion) sign(hash string) string {
	if !p.Signs {
		return ""
	}
	return hex.EncodeToString(p.mac(hash))
}

func (p Promotion) verify(hash, proof string) bool {
	if !p.Verifies {
		return true
	}
	shown, err := hex.DecodeString(proof)
	return err == nil && hmac.Equal(shown, p.mac(hash))
}

// reinstated returns a version that is withdrawn in the document in force, is
// still declared and not withdrawn in doc, and is not in the list allowed.
func (s *Server) reinstated(doc *document.Document, allowed string) string {
	_, body := s.opts.Node.Current()
	current, err := document.Parse(body)
	if err != nil {
		return ""
	}
	keep := make(map[model.Ref]bool)
	for _, w := range doc.Withdrawals {
		keep[w.Version] = true
	}
	for _, name := range strings.Split(allowed, ",") {
		var ref model.Ref
		_ = ref.UnmarshalText([]byte(strings.TrimSpace(name)))
		keep[ref] = true
	}
	next := document.NewIndex(0, doc)
	for _, w := range current.Withdrawals {
		if !keep[w.Version] && next.Version(w.Version) != nil {
			return w.Version.String()
		}
	}
	return ""
}
