package ledger

import (
	"crypto/sha256"
	"time"
)

// maxAmount bounds Entry.Amount and each Attempt.Cost, in millionths of the currency unit.
const maxAmount = 1 << 50

// Micros is an amount of money in millionths of the currency unit. The ledger doesn't know the
// currency: all entries of an account must use the same one.
type Micros int64

// Kind names what was billed, such as a model's answer or a call to a service. The ledger stores it
// and does not interpret it.
type Kind string

// Attempt is one attempt to serve a request: a first attempt, a retry, a hedge or a cascade step.
type Attempt struct {
	Upstream  string `json:"upstream,omitempty"`
	Model     string `json:"model,omitempty"`
	Version   string `json:"version,omitempty"`
	Cost      Micros `json:"cost"`             // from 0 to 2^50
	Delivered bool   `json:"answer,omitempty"` // the caller received the response of this attempt
}

// Entry bills one request to one client account. RequestID, Account and Time are required.
type Entry struct {
	// RequestID identifies the request. Each ID counts once in an account's totals: of several
	// entries with the same account and ID, the one that is settled first counts.
	RequestID string `json:"id"`
	Account   string `json:"account"`
	Kind      Kind   `json:"kind,omitempty"`
	Model     string `json:"model,omitempty"`
	Version   string `json:"version,omitempty"`
	// Amount is the price charged to the client account, from 0 to 2^50.
	Amount Micros `json:"amount"`
	// Attempts lists the attempts with their costs to the operator.
	Attempts []Attempt `json:"attempts,omitempty"`
	// Time is when the request was first received, not before 1970. The times of entries with the
	// same request ID must not differ by more than SettlerOptions.BucketDuration: otherwise the
	// request may be counted twice.
	Time time.Time `json:"time"`
}

// validate reports ErrInvalid for an entry that must not be recorded.
func (e Entry) validate() error {
	switch {
	case e.RequestID == "" || e.Account == "":
		return ErrInvalid.New("entry without request id or client account")
	case e.Time.IsZero() || e.Time.Unix() < 0:
		return ErrInvalid.New("entry %q has no time or one before 1970", e.RequestID)
	case e.Amount < 0 || e.Amount > maxAmount:
		return ErrInvalid.New("entry %q has amount %d, which is negative or too large", e.RequestID, e.Amount)
	}
	for _, a := range e.Attempts {
		if a.Cost < 0 || a.Cost > maxAmount {
			return ErrInvalid.New("entry %q has an attempt with cost %d, which is negative or too large", e.RequestID, a.Cost)
		}
	}
	return nil
}

// Totals holds the sums of a set of entries.
type Totals struct {
	Requests int64  `json:"requests"`
	Attempts int64  `json:"attempts"`
	Amount   Micros `json:"amount"` // charged to the client account
	Cost     Micros `json:"cost"`   // of all attempts
}

// check reports an error if a sum is negative.
func (t Totals) check() error {
	if t.Requests < 0 || t.Attempts < 0 || t.Amount < 0 || t.Cost < 0 {
		return ErrCorrupt.New("negative sum: %+v", t)
	}
	return nil
}

func (t Totals) plus(o Totals) Totals {
	return Totals{
		Requests: t.Requests + o.Requests,
		Attempts: t.Attempts + o.Attempts,
		Amount:   t.Amount + o.Amount,
		Cost:     t.Cost + o.Cost,
	}
}

func (e Entry) totals() Totals {
	t := Totals{Requests: 1, Attempts: int64(len(e.Attempts)), Amount: e.Amount}
	for _, a := range e.Attempts {
		t.Cost += a.Cost
	}
	return t
}

// requestKeySize is the length of a requestKey in bytes.
const requestKeySize = 16

// requestKey is the truncated SHA-256 of a request ID. Bucket rows store it instead of the ID.
type requestKey [requestKeySize]byte

func keyOf(requestID string) requestKey {
	sum := sha256.Sum256([]byte(requestID))
	return requestKey(sum[:requestKeySize])
}
