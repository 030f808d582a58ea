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

// encodingGzip is the content coding of packed documents.
const encodingGzip = "gzip"

// Pack compresses a document with gzip for the transfer between entry VMs.
func Pack(body []byte) []byte {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	// Writing to memory does not fail.
	_, _ = w.Write(body)
	_ = w.Close()
	return buf.Bytes()
}

// Unpack decompresses a document that Pack compressed. Errors: ErrMalformed, also
// if the document is larger than document.MaxBytes.
func Unpack(packed []byte) ([]byte, error) {
	return unpack(packed, document.MaxBytes)
}

// unpack decompresses a body of at most maxBytes. Errors: ErrMalformed.
func unpack(packed []byte, maxBytes int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "decompress body")
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "decompress body")
	}
	if int64(len(body)) > maxBytes {
		return nil, ErrMalformed.New("decompressed body is larger than %d bytes", maxBytes)
	}
	return body, nil
}

// packedCache caches the compressed form of the document requested last, so that
// it is compressed once for all peers.
type packedCache struct {
	mu   sync.Mutex
	hash revision.Hash
	body []byte
}

// get returns the compressed form of the document with the hash.
func (p *packedCache) get(hash revision.Hash, body []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hash != hash {
		p.hash, p.body = hash, Pack(body)
	}
	return p.body
}

// writeBody writes a document, compressed if the peer accepts gzip.
func (s *Server) writeBody(w http.ResponseWriter, r *http.Request, hash revision.Hash, body []byte) {
	if r.Header.Get("Accept-Encoding") == encodingGzip {
		w.Header().Set("Content-Encoding", encodingGzip)
		body = s.packed.get(hash, body)
	}
	_, _ = w.Write(body)
}
