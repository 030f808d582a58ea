package revision

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

// maxRecentRevisions is the maximum number of earlier revisions, and thus of their
// operation ids, that the head row lists.
const maxRecentRevisions = 64

// Hash is the SHA-256 hash of a body as 64 lower-case hexadecimal digits.
type Hash string

// HashOf returns the hash of body.
func HashOf(body []byte) Hash {
	sum := sha256.Sum256(body)
	return Hash(hex.EncodeToString(sum[:]))
}

// Revision identifies one accepted document. The zero Revision means none.
type Revision struct {
	// Number is the position in the sequence of accepted documents, from 1.
	Number uint64 `json:"number"`
	// Hash is the hash of the body.
	Hash Hash `json:"hash"`
	// OpID is the operation id that the proposer gave to Publisher.Propose.
	OpID string `json:"op"`
	// Author is the author that the proposer gave to Publisher.Propose.
	Author string `json:"author"`
	// Time is when the proposal was made, by the clock of its Publisher, in UTC.
	Time time.Time `json:"time"`
}

// maxNumber is the highest valid number of a revision. At 100 changes per second, it would be
// reached after 350 years.
const maxNumber = 1 << 40

// valid reports whether the revision may be one that a Publisher wrote: it has a number from
// 1 to maxNumber and a well-formed hash.
func (r Revision) valid() bool {
	sum, err := hex.DecodeString(string(r.Hash))
	return r.Number > 0 && r.Number <= maxNumber && err == nil && len(sum) == sha256.Size &&
		hex.EncodeToString(sum) == string(r.Hash)
}

// Head is the content of the head row.
type Head struct {
	// Revision is the newest revision.
	Revision
	// Recent lists the revisions before the newest one, at most 64, oldest first.
	Recent []Revision `json:"recent"`
}

// findOperation returns the listed revision that the operation id created.
func (h Head) findOperation(opID string) (Revision, bool) {
	if h.Number > 0 && h.OpID == opID {
		return h.Revision, true
	}
	for _, r := range h.Recent {
		if r.OpID == opID {
			return r, true
		}
	}
	return Revision{}, false
}

// listsAllAfter reports whether the head row lists every revision after base.
func (h Head) listsAllAfter(base uint64) bool {
	return h.Number <= base+uint64(len(h.Recent))+1
}

// successor returns the head row in which next follows the present revision.
func (h Head) successor(next Revision) Head {
	var recent []Revision
	if h.Number > 0 {
		recent = append(append(recent, h.Recent...), h.Revision)
	}
	if extra := len(recent) - maxRecentRevisions; extra > 0 {
		recent = recent[extra:]
	}
	return Head{Revision: next, Recent: recent}
}

// readHead returns the head and the version of its row. Both are zero if there is
// no row. Errors: ErrUnavailable; ErrCorrupt for a row that no Publisher wrote.
func readHead(ctx context.Context, table store.Table, key string) (Head, store.Version, error) {
	row, err := table.Get(ctx, key)
	if errorx.IsOfType(err, store.ErrNotFound) {
		return Head{}, "", nil
	}
	if err != nil {
		return Head{}, "", ErrUnavailable.Wrap(err, "head row")
	}
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, "", ErrCorrupt.Wrap(err, "head row")
	}
	if !head.valid() {
		return Head{}, "", ErrCorrupt.New("head row names revision %d with hash %q, which is not valid", head.Number, head.Hash)
	}
	return head, row.Version, nil
}

// writeHead writes the head row if its version is prev. An empty prev means that
// there must be no row yet. Errors are those of package store and ErrInvalid.
func writeHead(ctx context.Context, table store.Table, key string, head Head, prev store.Version) error {
	value, err := json.Marshal(head)
	if err != nil {
		return ErrInvalid.Wrap(err, "head row")
	}
	if prev == "" {
		_, err = table.Insert(ctx, key, value)
	} else {
		_, err = table.Update(ctx, key, value, prev)
	}
	return err
}

func bodyKey(prefix string, hash Hash) string {
	return prefix + "/body/" + string(hash)
}

func headKey(prefix string) string {
	return prefix + "/head"
}

// fetchBody reads a body from the object store and verifies its hash. Errors:
// ErrUnavailable, ErrCorrupt.
func fetchBody(ctx context.Context, objects store.Objects, prefix string, hash Hash) ([]byte, error) {
	body, err := objects.Get(ctx, bodyKey(prefix, hash))
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "body %s", hash)
	}
	if HashOf(body) != hash {
		return nil, ErrCorrupt.New("stored body %s does not match its hash", hash)
	}
	return body, nil
}
