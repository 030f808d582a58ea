package lease

import (
	"encoding/json"
	"time"

	"github.com/poplarshore/poplarshore/coord/store"
)

// row is the kept state of one job.
type row struct {
	Holder  string `json:"holder"` // empty for a released job
	Fence   uint64 `json:"fence"`
	TTLms   int64  `json:"ttl_ms"` // the holder's TTL, which contenders wait out
	WriteID string `json:"write_id"`
}

func (r row) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, ErrRow.Wrap(err, "encode")
	}
	return value, nil
}

func decode(stored store.Row) (row, error) {
	var r row
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		return row{}, ErrRow.Wrap(err, "row %q", stored.Key)
	}
	return r, nil
}

func (r row) free() bool {
	return r.Holder == ""
}

func (r row) ttl() time.Duration {
	return time.Duration(r.TTLms) * time.Millisecond
}
