package lease

import (
	"encoding/json"
	"time"

	"github.com/poplarshore/poplarshore/coord/store"
)

const (
	// maxTTL is the longest TTL. Contenders wait no longer, whatever TTL a row names.
	maxTTL = time.Hour
	// maxFence is the highest fencing token that may be followed by another one.
	maxFence = 1 << 53
)

// row is the stored state of one job.
type row struct {
	Holder  string `json:"holder"` // empty if the job is released
	Fence   uint64 `json:"fence"`
	TTLms   int64  `json:"ttl_ms"` // the holder's TTL in milliseconds; the minimum wait of contenders
	WriteID string `json:"write_id"`
}

func (r row) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, ErrMalformedRow.Wrap(err, "encode")
	}
	return value, nil
}

func decode(stored store.Row) (row, error) {
	var r row
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		return row{}, ErrMalformedRow.Wrap(err, "decode row %q", stored.Key)
	}
	if r.Fence == 0 || r.Fence > maxFence {
		return row{}, ErrMalformedRow.New("row %q has fencing token %d, which no holder gets", stored.Key, r.Fence)
	}
	return r, nil
}

func (r row) isReleased() bool {
	return r.Holder == ""
}

// ttl returns the holder's TTL, from 0 to maxTTL.
func (r row) ttl() time.Duration {
	return time.Duration(min(max(r.TTLms, 0), maxTTL.Milliseconds())) * time.Millisecond
}
