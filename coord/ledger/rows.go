package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

// bucketRow holds one account's requests of one time bucket and shard.
type bucketRow struct {
	Fence uint64 `json:"fence"`
	// Sealed rows take no more requests: they are being added to the total.
	Sealed bool   `json:"sealed,omitempty"`
	Sum    Totals `json:"sum"`
	// Keys is the concatenation of the request keys in Sum.
	Keys []byte `json:"keys"`
}

func (r *bucketRow) addTo(set map[requestKey]bool) {
	for at := 0; at+requestKeySize <= len(r.Keys); at += requestKeySize {
		set[requestKey(r.Keys[at:at+requestKeySize])] = true
	}
}

// rowRef names a row at a version.
type rowRef struct {
	Key     string        `json:"key"`
	Version store.Version `json:"version"`
}

// totalRow holds the sums of an account's compacted buckets.
type totalRow struct {
	Fence uint64 `json:"fence"`
	Sum   Totals `json:"sum"`
	// Last is the bucket row added last, which may not be deleted yet.
	Last rowRef `json:"last"`
}

// compactionMark says up to when buckets are being or have been compacted. It
// only rises, and does so before any bucket below it is sealed.
type compactionMark struct {
	Fence   uint64 `json:"fence"`
	Through int64  `json:"through"` // seconds since 1970
}

func (m compactionMark) covers(id bucketID, length time.Duration) bool {
	return id.start+int64(length/time.Second) <= m.Through
}

func markKey(prefix string) string { return prefix + "/compacted" }

// bucketID names a bucket row.
type bucketID struct {
	account string
	start   int64 // seconds since 1970, a multiple of the bucket's length
	shard   int
}

func bucketsPrefix(prefix string) string { return prefix + "/buckets/" }

func accountPrefix(prefix, account string) string {
	return bucketsPrefix(prefix) + url.PathEscape(account) + "/"
}

func (b bucketID) key(prefix string) string {
	return fmt.Sprintf("%s%012d/%03d", accountPrefix(prefix, b.account), b.start, b.shard)
}

func parseBucket(prefix, key string) (bucketID, error) {
	parts := strings.Split(strings.TrimPrefix(key, bucketsPrefix(prefix)), "/")
	if len(parts) != 3 {
		return bucketID{}, ErrCorrupt.New("%q is no bucket key", key)
	}
	account, err1 := url.PathUnescape(parts[0])
	start, err2 := strconv.ParseInt(parts[1], 10, 64)
	shard, err3 := strconv.Atoi(parts[2])
	if err1 != nil || err2 != nil || err3 != nil {
		return bucketID{}, ErrCorrupt.New("%q is no bucket key", key)
	}
	return bucketID{account: account, start: start, shard: shard}, nil
}

func totalKey(prefix, account string) string {
	return prefix + "/totals/" + url.PathEscape(account)
}

func bucketStart(t time.Time, length time.Duration) int64 {
	seconds := int64(length / time.Second)
	return t.Unix() / seconds * seconds
}

// readRow decodes a row into value and returns its version, empty for no row.
func readRow(ctx context.Context, table store.Table, key string, value any) (store.Version, error) {
	row, err := table.Get(ctx, key)
	if errorx.IsOfType(err, store.ErrNotFound) {
		return "", nil
	}
	if err != nil {
		return "", ErrUnavailable.Wrap(err, "row %q", key)
	}
	if err := json.Unmarshal(row.Value, value); err != nil {
		return "", ErrCorrupt.Wrap(err, "row %q", key)
	}
	return row.Version, nil
}

// writeRow inserts or updates a row. It reports false if the row has to be read
// again: it changed, or the reply was lost.
func writeRow(ctx context.Context, table store.Table, key string, value any, prev store.Version) (bool, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return false, ErrInvalid.Wrap(err, "row %q", key)
	}
	if prev == "" {
		_, err = table.Insert(ctx, key, encoded)
	} else {
		_, err = table.Update(ctx, key, encoded, prev)
	}
	return wrote(err, key)
}

func wrote(err error, key string) (bool, error) {
	switch {
	case err == nil:
		return true, nil
	case errorx.IsOfType(err, store.ErrExists), errorx.IsOfType(err, store.ErrConflict),
		errorx.IsOfType(err, store.ErrUnknown):
		return false, nil
	case errorx.IsOfType(err, store.ErrInvalid):
		return false, ErrInvalid.Wrap(err, "row %q", key)
	default:
		return false, ErrUnavailable.Wrap(err, "row %q", key)
	}
}
