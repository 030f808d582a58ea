package relay

import (
	"net/http"
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/peerrelay"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/reachability"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/routing"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

// Part is one segment of a prompt. Requests with the same leading parts can
// share an upstream's prefix cache.
type Part struct {
	ID     string
	Tokens int
}

// Request holds the data from the request line and header of a caller's
// request.
type Request struct {
	// ID is the attempt id set by the caller; the upstream's response repeats it.
	ID     string
	Method string
	// Host and Path select the route; Target is the path with the query string. Path is the first
	// part of Target as it is, neither decoded nor cleaned.
	Host, Path, Target string
	// Invalid is why the request can't be read in one way only, and is refused; nil if it can.
	Invalid error
	// Key is the caller's bearer token; empty if it sent none.
	Key string
	// Deadline is how long the caller waits for the response, from the start of
	// the request; zero if the caller sets no limit.
	Deadline time.Duration
	// Model is the model that the caller asks for; empty lets the router choose.
	Model model.Name
	// Session identifies the requests that belong together. Versions are
	// assigned by session. Empty for none.
	Session string
	// PromptTokens is the length of the prompt in tokens. Parts holds its parts
	// in order; the last one is specific to this request.
	PromptTokens int
	Parts        []Part
	// OutputTokens is the caller's estimate of the length of the answer in tokens, often far
	// off, and MaxOutputTokens its maximum; zero if unknown.
	OutputTokens, MaxOutputTokens int
	// LastEvent is the id of the last event that the caller received; empty for
	// none.
	LastEvent string
	// Header holds the header fields to forward.
	Header http.Header
}

// UpstreamAttempt describes one attempt, for the header sent to the upstream.
type UpstreamAttempt struct {
	Request  *Request
	Upstream upstream.ID
	// Account is the client account; empty on public routes.
	Account account.ID
	// Model is the model that the router selected; empty if the caller named one
	// or the route lists none.
	Model model.Name
	// Priority orders requests at the upstream; 0 is the most urgent.
	Priority int
	// LastEvent is the event id after which the stream is resumed; empty to start
	// from the beginning.
	LastEvent string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// Head holds the data from the status line and header of an upstream's response.
type Head struct {
	// Sealed reports whether the response carries the upstream's seal. A
	// successful response without it is not forwarded.
	Sealed bool
	// NotRun reports whether the upstream states that it did not run the request.
	NotRun bool
	// Leaving reports whether the upstream states that it is leaving.
	Leaving bool
	// Pause is how long the upstream, which turned the request away, wants no requests
	// from this VM; zero if it sets no time.
	Pause time.Duration
	// RequestLimit is the number of requests per second that the upstream takes from all
	// VMs together, for as long as it says so; zero if it sets no limit.
	RequestLimit float64
	// Fragile reports whether the upstream states that it ends if it has to reject more than a
	// few requests for want of room.
	Fragile bool
	// Load is the upstream's load report; valid only if HasLoad is set.
	Load    route.Load
	HasLoad bool
	// Confidence is the model's confidence in its response, 0 to 100; negative
	// if it reports none.
	Confidence int
	// ColdFor is how long the upstream stays cold, by its answer to a health check; valid only
	// if HasColdFor is set.
	ColdFor    time.Duration
	HasColdFor bool
	// IdleTimeout is the upstream's idle timeout for connections; zero if unknown.
	IdleTimeout time.Duration
}

// Protocol translates between HTTP headers and the types of this package.
type Protocol interface {
	// ReadRequest parses the request line and header of a caller's request.
	ReadRequest(r *http.Request) *Request
	// UpstreamHeader returns the request header to send for an attempt.
	UpstreamHeader(s UpstreamAttempt) http.Header
	// PeerHeader returns the header of a caller's request for another VM, which reads it with
	// ReadRequest.
	PeerHeader(s UpstreamAttempt) http.Header
	// ReadHead parses the status and header of an upstream's response.
	ReadHead(status int, h http.Header) Head
	// ResponseID returns the ID of the request that the response with header h answers; empty if
	// it names none. SetResponseID sets it.
	ResponseID(h http.Header) string
	SetResponseID(h http.Header, id string)
	// CallerHeader returns the fields of a response header to forward to the
	// caller.
	CallerHeader(h http.Header) http.Header
}

// Tables provides the routing configuration in force.
type Tables interface {
	// Table returns the current routing table, or nil before the first one has
	// been read.
	Table() *routing.Table
	// TableAt returns the table by which a request is handled that began at the given time on a VM
	// with at least the given version of the configuration, or nil before the first one.
	TableAt(began time.Time, minVersion int64) *routing.Table
}

// Placement selects the upstream for an attempt.
type Placement interface {
	// Choose returns the selected upstream; its Engine is nil if there is none.
	Choose(req engines.Requirements) engines.Choice
	// IsFragile reports whether the upstreams of a service end if they have to reject requests.
	IsFragile(service string) bool
}

// Quarantine keeps requests that crash upstreams away from them.
type Quarantine interface {
	// Check returns why a request with the keys must not be sent now, and false if it may
	// be.
	Check(keys []quarantine.Key) (quarantines.Exclusion, bool)
	// Excludes reports whether Check would refuse a request with the keys, without an effect.
	Excludes(keys []quarantine.Key) bool
	// Begin registers an attempt of a request with the keys. End must be called on the
	// result.
	Begin(of quarantine.Incarnation, keys []quarantine.Key) *quarantines.Attempt
}

// Reach follows whether this VM reaches upstreams.
type Reach interface {
	// Record records a contact with an upstream of a service.
	Record(service string, u upstream.ID, c reachability.Contact)
	// Status returns how this VM reaches the upstreams of a service.
	Status(service string) reachability.Status
	// Unreached returns the upstreams of a service that can't be reached.
	Unreached(service string) []upstream.ID
}

// Peers selects other VMs that relay requests for this one.
type Peers interface {
	// Choose returns a VM in one of the regions that may relay a request for a service, other
	// than those tried, and false if there is none. End must be called on the result.
	Choose(service string, regions domain.RegionSet, tried []vm.ID) (*peerrelay.Peer, bool)
	// HasProven reports whether such a VM has lately relayed a request for the service.
	HasProven(service string, regions domain.RegionSet) bool
}

// Versions decides which versions a session may use and records how attempts on
// them end, for roll-outs.
type Versions interface {
	// Allowed returns a filter of the versions that a session at the given
	// position, 0 to 1, may use.
	Allowed(service string, position float64) func(model.VersionID) bool
	// TrialShare returns the fraction of sessions, 0 to 1, that get a version on trial, if a session at
	// the given position is one of them, and 0 otherwise.
	TrialShare(service string, position float64) float64
	// Begin registers an attempt in progress. End must be called on the result.
	Begin(a shifts.Attempt) *shifts.Running
}
