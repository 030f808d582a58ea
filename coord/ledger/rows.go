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

// bucketRow holds the requests of one account in one time bucket and shard.
type bucketRow struct {
	Fence uint64 `json:"fence"`
	// Sealed rows accept no more requests: they are being added to the account's total row.
	Sealed bool   `json:"sealed,omitempty"`
	Sum    Totals `json:"sum"`
	// Keys is the concatenation of the keys of the requests in Sum.
	Keys []byte `json:"keys"`
}

// check reports an error if no settler writes such a row.
func (r *bucketRow) check() error {
	if err := r.Sum.check(); err != nil {
		return err
	}
	if len(r.Keys)%requestKeySize != 0 || r.Sum.Requests != int64(len(r.Keys)/requestKeySize) {
		return ErrCorrupt.New("%d bytes of request keys for %d requests", len(r.Keys), r.Sum.Requests)
	}
	return nil
}

// addKeysTo adds the row's request keys to set.
func (r *bucketRow) addKeysTo(set map[requestKey]bool) {
	for i := 0; i+requestKeySize <= len(r.Keys); i += requestKeySize {
		set[requestKey(r.Keys[i:i+requestKeySize])] = true
	}
}

// rowRef refers to one version of a row.
type rowRef struct {
	Key     string        `json:"key"`
	Version store.Version `json:"version"`
}

// totalRow holds the sums of an account's compacted buckets.
type totalRow struct {
	Fence uint64 `json:"fence"`
	Sum   Totals `json:"sum"`
	// LastBucket is the bucket row that was added last. It may not have been deleted yet, and then
	// must not be counted besides Sum.
	LastBucket rowRef `json:"last"`
}

// check reports an error if no settler writes such a row.
func (r *totalRow) check() error { return r.Sum.check() }

// compactionWatermark is the row that says up to which time buckets are being or have been
// compacted. It only rises, and rises before any bucket below it is sealed.
type compactionWatermark struct {
	Fence   uint64 `json:"fence"`
	Through int64  `json:"through"` // seconds since 1970
}

// covers reports whether the whole bucket, of the given length, lies below the watermark.
func (w compactionWatermark) covers(id bucketID, length time.Duration) bool {
	return id.start+int64(length/time.Second) <= w.Through
}

func watermarkKey(prefix string) string { return prefix + "/compacted" }

// bucketID identifies a bucket row.
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

// parseBucketKey is the inverse of bucketID.key. Errors: ErrCorrupt.
func parseBucketKey(prefix, key string) (bucketID, error) {
	parts := strings.Split(strings.TrimPrefix(key, bucketsPrefix(prefix)), "/")
	if len(parts) != 3 {
		return bucketID{}, ErrCorrupt.New("malformed bucket key %q", key)
	}
	account, err1 := url.PathUnescape(parts[0])
	start, err2 := strconv.ParseInt(parts[1], 10, 64)
	shard, err3 := strconv.Atoi(parts[2])
	if err1 != nil || err2 != nil || err3 != nil {
		return bucketID{}, ErrCorrupt.New("malformed bucket key %q", key)
	}
	return bucketID{account: account, start: start, shard: shard}, nil
}

func totalKey(prefix, account string) string {
	return prefix + "/totals/" + url.PathEscape(account)
}

// bucketStart returns the start of the bucket that contains t, in seconds since 1970.
func bucketStart(t time.Time, length time.Duration) int64 {
	seconds := int64(length / time.Second)
	return t.Unix() / seconds * seconds
}

// readRow decodes the row at key into value and returns its version. If there is no row, value is
// unchanged and the version empty. Errors: ErrUnavailable, ErrCorrupt.
func readRow(ctx context.Context, table store.Table, key string, value any) (store.Version, error) {
	row, err := table.Get(ctx, key)
	if errorx.IsOfType(err, store.ErrNotFound) {
		return "", nil
	}
	if err != nil {
		return "", ErrUnavailable.Wrap(err, "read row %q", key)
	}
	if err := decodeInto(row, value); err != nil {
		return "", err
	}
	return row.Version, nil
}

// decodeInto decodes a row's JSON value. If value has a method check, the value must pass it.
// Errors: ErrCorrupt.
func decodeInto(row store.Row, value any) error {
	if err := json.Unmarshal(row.Value, value); err != nil {
		return ErrCorrupt.Wrap(err, "decode row %q", row.Key)
	}
	if checked, ok := value.(interface{ check() error }); ok {
		if err := checked.check(); err != nil {
			return ErrCorrupt.Wrap(err, "row %q", row.Key)
		}
	}
	return nil
}

// writeRow updates the row at key if its version is prev, or inserts it if prev is empty. It reports
// false if the caller has to read the row again: it changed meanwhile, or the outcome of the write
// is unknown. Errors: ErrInvalid, ErrUnavailable.
func writeRow(ctx context.Context, table store.Table, key string, value any, prev store.Version) (bool, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return false, ErrInvalid.Wrap(err, "encode row %q", key)
	}
	if prev == "" {
		_, err = table.Insert(ctx, key, encoded)
	} else {
		_, err = table.Update(ctx, key, encoded, prev)
	}
	return writeOutcome(err, key)
}

// writeOutcome translates the store's error of a write to the row at key into the results of
// writeRow.
func writeOutcome(err error, key string) (bool, error) {
	switch {
	case err == nil:
		return true, nil
	case errorx.IsOfType(err, store.ErrExists), errorx.IsOfType(err, store.ErrConflict),
		errorx.IsOfType(err, store.ErrUnknown):
		return false, nil
	case errorx.IsOfType(err, store.ErrInvalid):
		return false, ErrInvalid.Wrap(err, "write row %q", key)
	default:
		return false, ErrUnavailable.Wrap(err, "write row %q", key)
	}
}
