package controld

import (
	"log/slog"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/store"
)

// maxOddRows bounds the rows that an oddRows remembers.
const maxOddRows = 10_000

// oddRows logs and counts the rows that can't be decoded, each version of a row once. It is
// safe for concurrent use.
type oddRows struct {
	log   *slog.Logger
	count prometheus.Counter

	mu   sync.Mutex
	seen map[string]store.Version // by key
}

// newOddRows returns an oddRows that has seen no row.
func newOddRows(log *slog.Logger, count prometheus.Counter) *oddRows {
	return &oddRows{log: log, count: count, seen: make(map[string]store.Version)}
}

// record logs and counts a row, unless it did so for this version of the row.
func (o *oddRows) record(key string, version store.Version, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if last, ok := o.seen[key]; ok && last == version {
		return
	}
	if len(o.seen) >= maxOddRows {
		clear(o.seen)
	}
	o.seen[key] = version
	o.count.Inc()
	o.log.Error("row ignored, can't be decoded", "key", key, "version", version, "error", err)
}
