package once

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/poplarshore/poplarshore/coord/store"
)

// state is the stored state of a claim.
type state string

const (
	stateRunning state = "running"
	stateDone    state = "done"
	stateUnknown state = "unknown"
)

// row is the stored form of one claim.
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
		return nil, ErrMalformedRow.Wrap(err, "encode")
	}
	return value, nil
}

func decode(stored store.Row) (row, error) {
	var r row
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		return row{}, ErrMalformedRow.Wrap(err, "decode row %q", stored.Key)
	}
	if r.ClaimID == "" || r.Created.IsZero() {
		return row{}, ErrMalformedRow.New("row %q lacks a claim or the time of its creation", stored.Key)
	}
	return r, nil
}

// checkSameResult returns nil if next is a completed row with the same result as r,
// which is completed. Errors: ErrClaimClosed.
func (r row) checkSameResult(next row) error {
	if next.State != stateDone || !bytes.Equal(r.Result, next.Result) {
		return ErrClaimClosed.New("claim %q already has a stored result", r.ClaimID)
	}
	return nil
}
