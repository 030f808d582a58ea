package relay

import (
	"net/http"
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/routing"
	"github.com/poplarshore/poplarshore/upstream"
)

// Part is one part of a prompt, which requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is what the head of a caller's request says.
type Request struct {
	// ID names this attempt of the caller.
	ID     string
	Method string
	// Host and Path select the route; Target is the path with its query.
	Host, Path, Target string
	// Key is the bearer key; empty for none.
	Key string
	// Deadline is how long the caller waits; zero if it does not say.
	Deadline time.Duration
	// Model is what the caller asks for; empty leaves it to the router.
	Model model.Name
	// Session names what requests that belong together share; empty for none.
	Session string
	// PromptTokens is the length of the prompt, Parts its parts in order. The
	// last part belongs to the request alone.
	PromptTokens int
	Parts        []Part
	// LastEvent is the id of the last event that the caller has; empty for none.
	LastEvent string
	// Header holds the fields to pass on.
	Header http.Header
}

// Sending is one attempt at an upstream.
type Sending struct {
	Request  *Request
	Upstream upstream.ID
	// Account is empty on public routes.
	Account account.ID
	// Model is empty where the request names none.
	Model model.Name
	// Priority ranks requests at the upstream; 0 is the most urgent.
	Priority int
	// LastEvent is the id after which a stream goes on; empty for its beginning.
	LastEvent string
	// Left is the time that is left.
	Left time.Duration
}

// Head is what the head of an upstream's answer says.
type Head struct {
	// Sealed tells that the upstream vouches for the answer.
	Sealed bool
	// NotRun tells that the upstream did not run the request.
	NotRun bool
	// Load is the upstream's load, where HasLoad is set.
	Load    route.Load
	HasLoad bool
	// Confidence is the model's opinion of its answer, 0 to 100; negative if
	// it has none.
	Confidence int
	// Keep is how long the upstream keeps an unused connection; zero is unknown.
	Keep time.Duration
}

// Protocol translates between the wire and this package.
type Protocol interface {
	// ReadRequest reads the head of a caller's request.
	ReadRequest(r *http.Request) *Request
	// UpstreamHeader returns the header of an attempt.
	UpstreamHeader(s Sending) http.Header
	// ReadHead reads the head of an answer.
	ReadHead(status int, h http.Header) Head
	// Mine tells whether an answer belongs to a request.
	Mine(r *Request, h http.Header) bool
	// CallerHeader returns the fields of an answer to pass on.
	CallerHeader(h http.Header) http.Header
}

// Tables gives the configuration in force.
type Tables interface {
	// Table returns it, or nil before the first one.
	Table() *routing.Table
}

// Placement chooses upstreams.
type Placement interface {
	Choose(w engines.Want) engines.Choice
}

// Versions says which versions a session may use and learns how they fare.
type Versions interface {
	Allowed(service string, position float64) func(model.VersionID) bool
	// SlowSilence returns how long an attempt may be silent between events
	// before Slow should be asked; zero for never.
	SlowSilence(a shifts.Attempt) time.Duration
	// Slow tells whether the events of an attempt that goes on come too slowly
	// for its version to be good; it then counts the attempt.
	Slow(a shifts.Attempt, gap time.Duration) bool
	// Retract takes back what Slow counted, as the upstream was to blame.
	Retract(a shifts.Attempt)
	Ended(o shifts.Outcome)
}
