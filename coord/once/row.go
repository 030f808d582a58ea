package once

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/poplarshore/poplarshore/coord/store"
)

type state string

const (
	stateRunning state = "running"
	stateDone    state = "done"
	stateUnknown state = "unknown"
)

// row is the kept state of one claim.
type row struct {
	ClaimID     string    `json:"claim_id"`
	Owner       string    `json:"owner"`
	Fingerprint string    `json:"fingerprint"`
	Created     time.Time `json:"created"`
	State       state     `json:"state"`
	Result      []byte    `json:"result,omitempty"`
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

// agrees returns nil if the next row says the same as this completed one.
// Errors: ErrClosed.
func (r row) agrees(next row) error {
	if next.State != stateDone || !bytes.Equal(r.Result, next.Result) {
		return ErrClosed.New("claim %q has a result", r.ClaimID)
	}
	return nil
}
