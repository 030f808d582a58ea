package ledger

import (
	"crypto/sha256"
	"time"
)

// maxAmount bounds one entry's amount and each attempt's cost, in micro-units.
const maxAmount = 1 << 50

// Micros is an amount of money in millionths of its unit.
type Micros int64

// Kind tells what was billed, such as a model's answer or a service's call.
type Kind string

// Attempt is one try at a request, such as a hedge, a retry or a cascade step.
type Attempt struct {
	Upstream string `json:"upstream,omitempty"`
	Model    string `json:"model,omitempty"`
	Version  string `json:"version,omitempty"`
	Cost     Micros `json:"cost"`
	Answer   bool   `json:"answer,omitempty"` // the caller received this attempt
}

// Entry bills one request to one client account.
type Entry struct {
	// RequestID identifies the request: one id counts once in an account's totals.
	RequestID string `json:"id"`
	Account   string `json:"account"`
	Kind      Kind   `json:"kind,omitempty"`
	Model     string `json:"model,omitempty"`
	Version   string `json:"version,omitempty"`
	// Amount is what the client account pays.
	Amount Micros `json:"amount"`
	// Attempts carry what the answer cost.
	Attempts []Attempt `json:"attempts,omitempty"`
	// Time is when the request was first taken. Entries with the same request id
	// must not differ in it by more than the settler's bucket.
	Time time.Time `json:"time"`
}

func (e Entry) validate() error {
	switch {
	case e.RequestID == "" || e.Account == "":
		return ErrInvalid.New("an entry needs a request id and a client account")
	case e.Time.IsZero() || e.Time.Unix() < 0:
		return ErrInvalid.New("entry %q has no valid time", e.RequestID)
	case e.Amount < 0 || e.Amount > maxAmount:
		return ErrInvalid.New("entry %q has amount %d", e.RequestID, e.Amount)
	}
	for _, a := range e.Attempts {
		if a.Cost < 0 || a.Cost > maxAmount {
			return ErrInvalid.New("entry %q has an attempt with cost %d", e.RequestID, a.Cost)
		}
	}
	return nil
}

// Totals sums up entries.
type Totals struct {
	Requests int64  `json:"requests"`
	Attempts int64  `json:"attempts"`
	Amount   Micros `json:"amount"`
	Cost     Micros `json:"cost"`
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

// requestKey is a truncated SHA-256 of a request id.
type requestKey [requestKeySize]byte

func keyOf(requestID string) requestKey {
	sum := sha256.Sum256([]byte(requestID))
	return requestKey(sum[:requestKeySize])
}
