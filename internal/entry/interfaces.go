// Package entry serves the HTTP API for callers. For each request it decides
// whether and on which upstream it runs, relays the answer and bills it.
//
// An Exchange is the state of one request. The request is admitted (account,
// contract, limits), assigned a version of the model (session, roll-out, cascade)
// and sent to upstreams in one or more attempts. Exactly one attempt becomes the
// answer. A piece is one event of an engine's streamed answer; pieces are numbered
// from 0 for each attempt. The end of an answer is not sent before its billing
// record is stored.
//
// New returns the Server, an http.Handler. It depends on the interfaces of this
// file, which other packages implement.
package entry

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/coord/once"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/money"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/upstream"
)

// Config provides the configuration in force.
type Config interface {
	// Index returns the configuration, or nil if none has been installed yet.
	Index() *document.Index
	// Refusal returns why this VM must refuse requests at present, or nil.
	Refusal() *refusal.Refusal
}

// Versions assigns versions of models to new requests.
type Versions interface {
	// Assign returns the versions to try, in order of preference. Requests of
	// one session have the same key.
	Assign(index *document.Index, name model.Name, key string) []model.Ref
	// Stopped reports whether the version was stopped because it performed badly.
	Stopped(ref model.Ref) bool
}

// Requirements describes an attempt for which Placement selects an upstream.
type Requirements struct {
	Client *document.Client
	Ref    model.Ref
	// Service is the name of a plain service; Ref is empty then.
	Service string
	// Prompt is the raw prompt. Its leading blocks are looked up in the prefix
	// caches of the upstreams.
	Prompt []byte
	// AnswerTokens is the estimated number of tokens of the answer.
	AnswerTokens int64
	// Preferred is the preferred upstream; may be empty.
	Preferred upstream.ID
	// Tried lists the upstreams that must not be chosen again.
	Tried []upstream.ID
}

// Outcome is the result of an attempt at an upstream.
type Outcome struct {
	// Err is the upstream's failure, or nil.
	Err error
	// Complete reports whether the answer was complete. If it is false and Err is
	// nil, the attempt was cancelled through no fault of the upstream.
	Complete bool
	// MayHaveStarted reports whether the upstream may have run any part of it.
	MayHaveStarted bool
	// TimeToFirstPiece is the time to the first piece, or to the response header of a
	// plain service; zero if none arrived.
	TimeToFirstPiece time.Duration
	// Duration is the total time of the attempt, or the time to the response header
	// of a plain service.
	Duration time.Duration
	// Draining reports whether the upstream announced that it is draining.
	Draining bool
}

// Placement selects upstreams and records the outcomes of attempts.
type Placement interface {
	// Choose returns an upstream, or nil if none is suitable.
	Choose(index *document.Index, requirements Requirements) *upstream.Upstream
	// ExpectedTimeToFirstPiece returns zero if the time is unknown.
	ExpectedTimeToFirstPiece(u *upstream.Upstream, requirements Requirements) time.Duration
	// Begin counts an attempt as in flight. The returned function ends it and
	// must be called exactly once.
	Begin(u *upstream.Upstream, requirements Requirements) func(Outcome)
}

// Admission is a request to be admitted within the limits of its account.
type Admission struct {
	Client *document.Client
	// Group is the model or cascade; empty for plain services.
	Group model.Name
	// Tokens is the estimated number of tokens of prompt and answer.
	Tokens int64
	// Deadline is the time by which the request has to be complete. Admit
	// refuses a request with a group that is not expected to complete by then.
	Deadline time.Time
}

// Usage is the resource usage of an admitted request.
type Usage struct {
	// Tokens is the number of tokens of all attempts, prompts included.
	Tokens int64
	// FirstToken is the time to the first piece; zero if none arrived.
	FirstToken time.Duration
	// Rejected reports whether an engine was too busy to start an attempt.
	Rejected bool
}

// Ticket is the reservation of an admitted request in the limits of its account.
type Ticket interface {
	// Settle releases the reservation and charges the actual usage instead.
	Settle(usage Usage)
}

// Limits admits requests within their client account's limits.
type Limits interface {
	// Admit waits until the request is admitted, or returns a *refusal.Refusal.
	Admit(ctx context.Context, a Admission) (Ticket, error)
}

// RatingRequest is a request to rate an answer.
type RatingRequest struct {
	Attempt string
	Ref     model.Ref
	Account account.ID
	Class   string
	Prompt  string
	Answer  string
	// AlreadyRated reports whether the answer has been rated before.
	AlreadyRated bool
}

// Ratings rates answers.
type Ratings interface {
	// Rate rates the answer and returns its score, from 0 to 1.
	Rate(ctx context.Context, r RatingRequest) (float64, error)
	// ShouldSample reports whether the next delivered answer should be passed to
	// Sample.
	ShouldSample() bool
	// Sample queues a delivered answer for rating in the background.
	Sample(r RatingRequest)
}

// AttemptCost is the cost of one attempt.
type AttemptCost struct {
	ID               string
	Upstream         upstream.ID
	Ref              model.Ref
	PromptTokens     int64
	CompletionTokens int64
	Cost             money.Micros
	// Delivered reports whether this attempt became the answer.
	Delivered bool
}

// Bill is the billing record of one request.
type Bill struct {
	RequestID string
	Account   account.ID
	// Ref is the version of the answer; empty for plain services.
	Ref model.Ref
	// Service is the plain service; empty for models.
	Service string
	// Amount is what the account owes, in millionths of the currency unit.
	Amount   money.Micros
	Attempts []AttemptCost
}

// Biller stores billing records.
type Biller interface {
	// Bill returns once the record is stored or queued such that it will be.
	Bill(ctx context.Context, b Bill) error
	// CanBill reports whether new requests can be billed.
	CanBill() bool
}

// Claims grants the right to run a non-idempotent request.
type Claims interface {
	// Claim claims the idempotency key. Only a caller that gets the status
	// once.Claimed may send the request. The fingerprint identifies the content
	// of the request.
	Claim(ctx context.Context, key once.Key, fingerprint string) (once.Outcome, error)
}

// Sessions signs and verifies session tokens.
type Sessions interface {
	// Verify returns the pins in the token. Errors are *refusal.Refusal.
	Verify(index *document.Index, id account.ID, token string) (Pins, error)
	// Sign returns a token that contains the pins.
	Sign(index *document.Index, id account.ID, pins Pins) (string, error)
}

// Pins is the content of a session: the pinned version of each model used.
type Pins struct {
	// ID identifies the session, in hexadecimal.
	ID string
	// OnOldRouter reports whether the session was started on the older router.
	OnOldRouter bool
	Version     map[model.Name]model.VersionID
	// Engine is the engine that served each model last. It is a preference only.
	Engine map[model.Name]upstream.ID
	// Expires is when the session ends. Zero for a new session.
	Expires time.Time
}

// Addresses resolves upstreams to their base URLs, which come from the settings.
type Addresses interface {
	// Address returns the base URL, or false if the settings have none.
	Address(id upstream.ID) (string, bool)
}
