package ledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

const (
	segmentFormat = 1
	sequenceWidth = 20 // decimal digits of the highest uint64
)

// segment is the decoded content of one object.
type segment struct {
	Format      int               `json:"format"`
	Incarnation string            `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
	Final       bool              `json:"final,omitempty"` // the writer's last segment
	Entries     []json.RawMessage `json:"entries"`
}

// Sealed is a segment whose bytes no longer change. Whoever holds it may write it.
type Sealed struct {
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

func segmentsPrefix(prefix string) string { return prefix + "/segments/" }

func segmentKey(prefix, incarnation string, sequence uint64) string {
	return fmt.Sprintf("%s%s/%0*d", segmentsPrefix(prefix), incarnation, sequenceWidth, sequence)
}

// seal encodes a segment: the hexadecimal SHA-256 of the content, a line feed,
// and the content as JSON.
func seal(prefix string, s segment) (Sealed, error) {
	s.Format = segmentFormat
	content, err := json.Marshal(s)
	if err != nil {
		return Sealed{}, ErrInvalid.Wrap(err, "segment %d", s.Sequence)
	}
	sum := sha256.Sum256(content)
	body := append([]byte(hex.EncodeToString(sum[:])+"\n"), content...)
	return Sealed{Key: segmentKey(prefix, s.Incarnation, s.Sequence), Body: body}, nil
}

// open decodes a segment and verifies its checksum and that it belongs under key.
func open(prefix, key string, body []byte) (segment, error) {
	sum, content, found := bytes.Cut(body, []byte("\n"))
	want := sha256.Sum256(content)
	if !found || string(sum) != hex.EncodeToString(want[:]) {
		return segment{}, ErrCorrupt.New("segment %q has a wrong checksum", key)
	}
	var s segment
	if err := json.Unmarshal(content, &s); err != nil {
		return segment{}, ErrCorrupt.Wrap(err, "segment %q", key)
	}
	if s.Format != segmentFormat || segmentKey(prefix, s.Incarnation, s.Sequence) != key {
		return segment{}, ErrCorrupt.New("segment %q is of another format or key", key)
	}
	return s, nil
}
