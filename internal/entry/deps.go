// Package entry serves callers: it decides for each request whether and where
// it runs, relays the answer, and bills it.
//
// The model: one Exchange stands for one caller's request. It is admitted
// (account, contract, limits), given a version (session, roll-out, cascade),
// and dispatched to upstreams in one or more attempts, of which exactly one
// becomes the answer. The end of an answer waits for its billing record.
// Everything that decides sits behind the small interfaces of this file.
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

// Config gives the configuration in force.
type Config interface {
	// Index returns the configuration, or nil before the first one.
	Index() *document.Index
	// Refusal returns why this VM may take no work at present, or nil.
	Refusal() *refusal.Refusal
}

// Versions decides which version of a model new work gets.
type Versions interface {
	// Assign returns the versions to try, in order of preference. The key is
	// stable for one session.
	Assign(x *document.Index, name model.Name, key string) []model.Ref
	// Stopped tells whether the version was stopped as bad.
	Stopped(ref model.Ref) bool
}

// Want says what Placement is asked for.
type Want struct {
	Client *document.Client
	Ref    model.Ref
	// Service is set in place of Ref for plain services.
	Service string
	// Prompt is the raw prompt; its leading blocks tell where it is cached.
	Prompt []byte
	// AnswerTokens is an estimate.
	AnswerTokens int64
	// Near is the upstream to prefer, or empty.
	Near upstream.ID
	// Tried lists upstreams not to choose again.
	Tried []upstream.ID
}

// Outcome tells how an attempt at an upstream ended.
type Outcome struct {
	Err error
	// Whole tells that the answer came whole; without it and without Err the
	// attempt was given up for no fault of the upstream.
	Whole bool
	// Begun tells whether the upstream may have started.
	Begun bool
	// FirstPiece is the time to the first piece; zero if none came.
	FirstPiece time.Duration
	// Duration is the whole time.
	Duration time.Duration
	// Draining tells that the upstream said it is leaving.
	Draining bool
}

// Placement chooses upstreams and follows how they fare.
type Placement interface {
	// Choose returns an upstream, or nil where none can take the work.
	Choose(x *document.Index, want Want) *upstream.Upstream
	// Expected returns the usual time to the first piece; zero is unknown.
	Expected(u *upstream.Upstream, want Want) time.Duration
	// Begin counts an attempt in flight; the function returned ends it.
	Begin(u *upstream.Upstream, want Want) func(Outcome)
}

// Admission is what a request asks of its account's limits.
type Admission struct {
	Client *document.Client
	// Group is the model, or empty for plain services.
	Group model.Name
	// Tokens is an estimate.
	Tokens int64
	// Deadline is the latest time to start.
	Deadline time.Time
}

// Use is what an admitted request used.
type Use struct {
	Tokens int64
	// FirstToken is the time to the first piece; zero if none came.
	FirstToken time.Duration
	// Rejected tells that an engine was too busy to start it.
	Rejected bool
}

// Ticket is an admitted request's hold on its account's limits.
type Ticket interface {
	// Settle gives the hold back and accounts for what was really used.
	Settle(u Use)
}

// Limits admits requests within their client account's limits.
type Limits interface {
	// Admit waits for a place, or returns a *refusal.Refusal.
	Admit(ctx context.Context, a Admission) (Ticket, error)
}

// Rating is an answer to rate.
type Rating struct {
	Attempt string
	Ref     model.Ref
	Account account.ID
	Class   string
	Prompt  string
	Answer  string
	// Repeated tells that the answer was rated before.
	Repeated bool
}

// Ratings rates answers.
type Ratings interface {
	// Rate waits for the score, 0 to 1.
	Rate(ctx context.Context, r Rating) (float64, error)
	// Sampled tells whether the next delivered answer is to be offered.
	Sampled() bool
	// Sample offers a delivered answer for rating in the background.
	Sample(r Rating)
}

// AttemptCost is what one attempt cost.
type AttemptCost struct {
	ID               string
	Upstream         upstream.ID
	Ref              model.Ref
	PromptTokens     int64
	CompletionTokens int64
	Cost             money.Micros
	// Delivered tells that this attempt became the answer.
	Delivered bool
}

// Bill is the billing record of one request.
type Bill struct {
	RequestID string
	Account   account.ID
	Ref       model.Ref
	Service   string
	Amount    money.Micros
	Attempts  []AttemptCost
}

// Biller keeps billing records.
type Biller interface {
	// Bill returns once the record is kept or is sure to be.
	Bill(ctx context.Context, b Bill) error
	// Open tells whether new requests can be billed.
	Open() bool
}

// Claims grants the right to run a non-idempotent request.
type Claims interface {
	Claim(ctx context.Context, key once.Key, fingerprint string) (once.Outcome, error)
}

// Sessions signs and verifies session tokens.
type Sessions interface {
	// Verify returns the pins of a token. Errors are *refusal.Refusal.
	Verify(x *document.Index, id account.ID, token string) (Pins, error)
	// Sign returns the token that carries the pins.
	Sign(x *document.Index, id account.ID, pins Pins) (string, error)
}

// Pins is the content of a session: one version for each model used.
type Pins struct {
	// ID names the session.
	ID string
	// Old tells that the session was begun on the older router.
	Old     bool
	Version map[model.Name]model.VersionID
	Engine  map[model.Name]upstream.ID
	// Expires is when the session ends.
	Expires time.Time
}

// Addresses finds the base URLs of upstreams, which the settings give.
type Addresses interface {
	Address(id upstream.ID) (string, bool)
}
