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

// recentOperations is the number of operation ids that the head row keeps.
const recentOperations = 64

// Hash is the hexadecimal SHA-256 of a body.
type Hash string

// HashOf returns the hash of body.
func HashOf(body []byte) Hash {
	sum := sha256.Sum256(body)
	return Hash(hex.EncodeToString(sum[:]))
}

// Revision identifies one accepted document. Number 0 stands for none.
type Revision struct {
	Number uint64    `json:"number"`
	Hash   Hash      `json:"hash"`
	OpID   string    `json:"op"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
}

// Head is the content of the head row: the newest revision, and the newest
// ones before it, oldest first.
type Head struct {
	Revision
	Recent []Revision `json:"recent"`
}

func (h Head) find(opID string) (Revision, bool) {
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

// covers reports whether every revision after base is in the row.
func (h Head) covers(base uint64) bool {
	return h.Number <= base+uint64(len(h.Recent))+1
}

func (h Head) successor(next Revision) Head {
	var recent []Revision
	if h.Number > 0 {
		recent = append(append(recent, h.Recent...), h.Revision)
	}
	if extra := len(recent) - recentOperations; extra > 0 {
		recent = recent[extra:]
	}
	return Head{Revision: next, Recent: recent}
}

// readHead returns the head and its row's version; both are zero for no row.
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
	return head, row.Version, nil
}

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

// fetchBody reads a body from the object store and verifies it.
func fetchBody(ctx context.Context, objects store.Objects, prefix string, hash Hash) ([]byte, error) {
	body, err := objects.Get(ctx, bodyKey(prefix, hash))
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "body %s", hash)
	}
	if HashOf(body) != hash {
		return nil, ErrCorrupt.New("object of body %s has another hash", hash)
	}
	return body, nil
}
