package lease

import (
	"encoding/json"
	"time"

	"github.com/poplarshore/poplarshore/coord/store"
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
	return r, nil
}

func (r row) isReleased() bool {
	return r.Holder == ""
}

func (r row) ttl() time.Duration {
	return time.Duration(r.TTLms) * time.Millisecond
}
