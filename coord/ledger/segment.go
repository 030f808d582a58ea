package ledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

const (
	segmentFormat = 1  // version of the encoding of a segment
	sequenceWidth = 20 // decimal digits of the highest uint64
	// maxSequence is the highest valid sequence number of a segment. A writer with 100 segments
	// per second would reach it after 21 years.
	maxSequence = 1 << 36
)

// segment is the decoded contents of one segment object.
type segment struct {
	Format      int               `json:"format"`
	Incarnation string            `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
	Final       bool              `json:"final,omitempty"` // the writer's last segment
	Entries     []json.RawMessage `json:"entries"`
}

// SealedSegment is an encoded segment whose bytes no longer change. Any process may create the object: the
// same segment written twice counts once.
type SealedSegment struct {
	Key  string `json:"key"`  // of the object, with the prefix
	Body []byte `json:"body"` // the object: a checksum line and JSON
}

func segmentsPrefix(prefix string) string { return prefix + "/segments/" }

// segmentKey returns the key of a segment's object. The sequence number has a fixed width, so that
// key order is sequence order.
func segmentKey(prefix, incarnation string, sequence uint64) string {
	return fmt.Sprintf("%s%s/%0*d", segmentsPrefix(prefix), incarnation, sequenceWidth, sequence)
}

// sealSegment encodes a segment: the hexadecimal SHA-256 of the contents, a line feed, and the
// contents as JSON.
func sealSegment(prefix string, s segment) (SealedSegment, error) {
	s.Format = segmentFormat
	content, err := json.Marshal(s)
	if err != nil {
		return SealedSegment{}, ErrInvalid.Wrap(err, "encode segment %d", s.Sequence)
	}
	sum := sha256.Sum256(content)
	body := append([]byte(hex.EncodeToString(sum[:])+"\n"), content...)
	return SealedSegment{Key: segmentKey(prefix, s.Incarnation, s.Sequence), Body: body}, nil
}

// decodeSegment decodes a segment and verifies its checksum, its format, its sequence number and
// that it belongs under key. Errors: ErrCorrupt.
func decodeSegment(prefix, key string, body []byte) (segment, error) {
	sum, content, found := bytes.Cut(body, []byte("\n"))
	wantSum := sha256.Sum256(content)
	if !found || string(sum) != hex.EncodeToString(wantSum[:]) {
		return segment{}, ErrCorrupt.New("checksum mismatch in segment %q", key)
	}
	var s segment
	if err := json.Unmarshal(content, &s); err != nil {
		return segment{}, ErrCorrupt.Wrap(err, "decode segment %q", key)
	}
	if s.Format != segmentFormat || segmentKey(prefix, s.Incarnation, s.Sequence) != key {
		return segment{}, ErrCorrupt.New("segment %q has an unsupported format or does not match its key", key)
	}
	if s.Sequence == 0 || s.Sequence > maxSequence {
		return segment{}, ErrCorrupt.New("segment %q has a sequence number that no writer reaches", key)
	}
	return s, nil
}
