package peerfeed

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/poplarshore/poplarshore/internal/watch"
)

const (
	// compressFromBytes is the length of a response body from which it is
	// compressed, as links between VMs may have little bandwidth.
	compressFromBytes = 4 << 10
	// maxBatchBytes bounds the body of a response.
	maxBatchBytes = 16 << 20
	// maxEncodings bounds the encoded batches that are kept for one table.
	maxEncodings = 32
)

// wireBatch is the JSON format of a batch.
type wireBatch struct {
	Rows []wireRow      `json:"rows"`
	At   watch.Revision `json:"at"`
	Era  watch.Era      `json:"era,omitzero"`
}

// wireRow is the JSON format of a row. Values are mostly JSON and are sent as text, which
// compresses far better than base64; others are sent as bytes.
type wireRow struct {
	Key      string         `json:"key"`
	Text     string         `json:"text,omitempty"`
	Bytes    []byte         `json:"bytes,omitempty"`
	Revision watch.Revision `json:"revision"`
	Deleted  bool           `json:"deleted,omitempty"`
}

// marshalBatch returns the JSON of a batch.
func marshalBatch(b watch.Batch) ([]byte, error) {
	w := wireBatch{At: b.At, Era: b.Era, Rows: make([]wireRow, 0, len(b.Rows))}
	for _, r := range b.Rows {
		row := wireRow{Key: r.Key, Revision: r.Revision, Deleted: r.Deleted}
		if utf8.Valid(r.Value) {
			row.Text = string(r.Value)
		} else {
			row.Bytes = r.Value
		}
		w.Rows = append(w.Rows, row)
	}
	return json.Marshal(w)
}

// unmarshalBatch is the inverse of marshalBatch.
func unmarshalBatch(body []byte) (watch.Batch, error) {
	var w wireBatch
	if err := json.Unmarshal(body, &w); err != nil {
		return watch.Batch{}, err
	}
	b := watch.Batch{At: w.At, Era: w.Era, Rows: make([]watch.Row, 0, len(w.Rows))}
	for _, r := range w.Rows {
		value := r.Bytes
		if value == nil && !r.Deleted {
			value = []byte(r.Text)
		}
		b.Rows = append(b.Rows, watch.Row{Key: r.Key, Value: value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return b, nil
}

// encodedBatch is a batch as JSON.
type encodedBatch struct {
	plain []byte
	// compressed is the gzip encoding of plain; nil for short batches.
	compressed []byte
}

// encodingKey identifies a batch by the position that was requested and its own.
type encodingKey struct {
	after, at watch.Cursor
}

// encodings keeps the encoded batches of one table, because many followers request the
// same batch at the same time, above all when they start. It is safe for concurrent use.
type encodings struct {
	mu    sync.Mutex
	byKey map[encodingKey]encodedBatch
}

// get returns the encoding of the batch of changes after a position.
func (e *encodings) get(after watch.Cursor, b watch.Batch) (encodedBatch, error) {
	key := encodingKey{after, b.Cursor()}
	e.mu.Lock()
	defer e.mu.Unlock()
	if encoded, ok := e.byKey[key]; ok {
		return encoded, nil
	}
	encoded, err := encodeBatch(b)
	if err != nil {
		return encodedBatch{}, err
	}
	if e.byKey == nil || len(e.byKey) >= maxEncodings {
		e.byKey = make(map[encodingKey]encodedBatch)
	}
	e.byKey[key] = encoded
	return encoded, nil
}

// encodeBatch encodes a batch, and compresses it if it is long.
func encodeBatch(b watch.Batch) (encodedBatch, error) {
	plain, err := marshalBatch(b)
	if err != nil || len(plain) < compressFromBytes {
		return encodedBatch{plain: plain}, err
	}
	var compressed bytes.Buffer
	gz := gzip.NewWriter(&compressed)
	if _, err := gz.Write(plain); err != nil {
		return encodedBatch{}, err
	}
	err = gz.Close()
	return encodedBatch{plain: plain, compressed: compressed.Bytes()}, err
}

// writeTo writes the batch as the response to r, compressed if the client accepts that.
func (b encodedBatch) writeTo(w http.ResponseWriter, r *http.Request) error {
	w.Header().Set("Content-Type", "application/json")
	body := b.plain
	if b.compressed != nil && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		body = b.compressed
	}
	_, err := w.Write(body)
	return err
}
