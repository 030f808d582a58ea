package peer

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"sync"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/document"
)

const encodingGzip = "gzip"

// Pack compresses a document for the way between entry VMs.
func Pack(body []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writing to memory does not fail.
	_, _ = w.Write(body)
	_ = w.Close()
	return out.Bytes()
}

// Unpack undoes Pack. Errors: ErrMalformed, also for a document that is larger
// than documents may be.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "packed document")
	}
	body, err := io.ReadAll(io.LimitReader(r, document.MaxBytes+1))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "packed document")
	}
	if len(body) > document.MaxBytes {
		return nil, ErrMalformed.New("packed document is larger than %d bytes", document.MaxBytes)
	}
	return body, nil
}

// packed keeps the packed form of the document asked for last.
type packed struct {
	mu   sync.Mutex
	hash revision.Hash
	body []byte
}

func (p *packed) of(hash revision.Hash, body []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hash != hash {
		p.hash, p.body = hash, Pack(body)
	}
	return p.body
}

// writeBody sends a document, packed where the peer takes that.
func (s *Server) writeBody(w http.ResponseWriter, r *http.Request, hash revision.Hash, body []byte) {
	if r.Header.Get("Accept-Encoding") == encodingGzip {
		w.Header().Set("Content-Encoding", encodingGzip)
		body = s.packed.of(hash, body)
	}
	_, _ = w.Write(body)
}
