// Package refusal defines the closed set of reasons for which a request is
// refused or an answer is aborted. Each reason has an HTTP status, states whether
// the request may have run, and has a Retry-After time where a retry can help.
package refusal

import (
	"net/http"
	"time"
)

// Ran states whether an upstream may have run the refused request.
type Ran string

// The values of Ran.
const (
	// RanNo means that no upstream has run any part of this attempt.
	RanNo Ran = "no"
	// RanUnknown means that an upstream may have run the request.
	RanUnknown Ran = "unknown"
)

// Reason is the reason for a refusal. It is also the code in the error body and
// the label of the refusals counter.
type Reason string

// The reasons for a refusal. The help texts in specs explain them.
const (
	MalformedRequest   Reason = "malformed_request"
	AmbiguousRequest   Reason = "ambiguous_request"
	NotUTF8            Reason = "not_utf8"
	BodyTooLarge       Reason = "body_too_large"
	BodyTimeout        Reason = "body_timeout"
	BadMaxTokens       Reason = "bad_max_tokens"
	Unauthorized       Reason = "unauthorized"
	PathUnknown        Reason = "path_unknown"
	MethodNotAllowed   Reason = "method_not_allowed"
	ModelUnknown       Reason = "model_unknown"
	ModelNotAllowed    Reason = "model_not_allowed"
	VersionNotAllowed  Reason = "version_not_allowed"
	ServiceUnknown     Reason = "service_unknown"
	ServiceNotAllowed  Reason = "service_not_allowed"
	SessionInvalid     Reason = "session_invalid"
	SessionExpired     Reason = "session_expired"
	SessionWithdrawn   Reason = "session_version_withdrawn"
	VersionsWithdrawn  Reason = "versions_withdrawn"
	LimitRequests      Reason = "limit_requests"
	LimitTokens        Reason = "limit_tokens"
	LimitConcurrency   Reason = "limit_concurrency"
	QueueFull          Reason = "queue_full"
	Overloaded         Reason = "overloaded"
	NoUpstream         Reason = "no_healthy_upstream"
	UpstreamsPaused    Reason = "upstreams_paused"
	Quarantined        Reason = "quarantined"
	UpstreamsLimited   Reason = "upstreams_limited"
	UpstreamsFull      Reason = "upstreams_full"
	NoUpstreamInRegion Reason = "no_upstream_in_regions"
	UpstreamsEvacuated Reason = "upstreams_evacuated"
	UpstreamsCold      Reason = "upstreams_cold"
	OutOfReach         Reason = "upstreams_out_of_reach"
	PeerBusy           Reason = "peer_busy"
	PeerBehind         Reason = "peer_behind"
	RetriesExhausted   Reason = "retries_exhausted"
	DeadlineExceeded   Reason = "deadline_exceeded"
	UpstreamFailed     Reason = "upstream_failed"
	UpstreamRejected   Reason = "upstream_rejected"
	AnswerCut          Reason = "answer_cut"
	OutcomeUnknown     Reason = "outcome_unknown"
	KeyReused          Reason = "idempotency_key_reused"
	KeyInProgress      Reason = "idempotency_key_in_progress"
	KeyInvalid         Reason = "idempotency_key_invalid"
	ClaimsUnavailable  Reason = "claims_unavailable"
	BillingUnavailable Reason = "billing_unavailable"
	ConfigurationStale Reason = "configuration_stale"
	Draining           Reason = "draining"
	MemoryFull         Reason = "memory_full"
	TakeoverQuiet      Reason = "takeover_quiet"
	LoopDetected       Reason = "loop_detected"
	StreamUnknown      Reason = "stream_unknown"
	CallerGone         Reason = "caller_gone"
	InternalFault      Reason = "internal"
)

// Class is the "type" field of the error body.
type Class string

// The classes of refusals.
const (
	ClassRequest     Class = "invalid_request_error"
	ClassAuth        Class = "authentication_error"
	ClassPermission  Class = "permission_error"
	ClassRateLimit   Class = "rate_limit_error"
	ClassUnavailable Class = "service_unavailable_error"
	ClassUpstream    Class = "upstream_error"
	ClassConflict    Class = "conflict_error"
)

// Spec holds the properties that all refusals for a reason share.
type Spec struct {
	Reason Reason
	Class  Class
	Status int
	Ran    Ran
	// RetryAfter is the value of the Retry-After header; zero sends no header.
	RetryAfter time.Duration
	// Help is one sentence that explains the reason to callers.
	Help string
}

// Default values of the Retry-After header: shortRetryAfter for conditions that
// are expected to clear quickly, longRetryAfter for others.
const (
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
)

var specs = []Spec{
	{MalformedRequest, ClassRequest, http.StatusBadRequest, RanNo, 0, "The body is not the JSON that this path takes."},
	{AmbiguousRequest, ClassRequest, http.StatusBadRequest, RanNo, 0, "The target or a repeated header field can be read in more than one way."},
	{NotUTF8, ClassRequest, http.StatusBadRequest, RanNo, 0, "The body is not UTF-8."},
	{BodyTooLarge, ClassRequest, http.StatusRequestEntityTooLarge, RanNo, 0, "The body is larger than the limit."},
	{BodyTimeout, ClassRequest, http.StatusRequestTimeout, RanNo, shortRetryAfter, "The body did not arrive in time."},
	{BadMaxTokens, ClassRequest, http.StatusBadRequest, RanNo, 0, "max_tokens is not between 1 and the limit."},
	{Unauthorized, ClassAuth, http.StatusUnauthorized, RanNo, 0, "No client account has this key."},
	{PathUnknown, ClassRequest, http.StatusNotFound, RanNo, 0, "There is nothing at this path."},
	{MethodNotAllowed, ClassRequest, http.StatusMethodNotAllowed, RanNo, 0, "The path does not take this method."},
	{ModelUnknown, ClassRequest, http.StatusNotFound, RanNo, 0, "No model has this name."},
	{ModelNotAllowed, ClassPermission, http.StatusForbidden, RanNo, 0, "The client account may not use this model."},
	{VersionNotAllowed, ClassPermission, http.StatusForbidden, RanNo, 0, "The client account may use no version of this model."},
	{ServiceUnknown, ClassRequest, http.StatusNotFound, RanNo, 0, "No service has this name."},
	{ServiceNotAllowed, ClassPermission, http.StatusForbidden, RanNo, 0, "The client account may not use this service."},
	{SessionInvalid, ClassRequest, http.StatusBadRequest, RanNo, 0, "The session token is not one that this environment signed for the account."},
	{SessionExpired, ClassRequest, http.StatusGone, RanNo, 0, "The session is over; begin a new one."},
	{SessionWithdrawn, ClassConflict, http.StatusGone, RanNo, 0, "The session's version was withdrawn; begin a new session."},
	{VersionsWithdrawn, ClassUnavailable, http.StatusServiceUnavailable, RanNo, longRetryAfter, "Every allowed version of the model is withdrawn."},
	{LimitRequests, ClassRateLimit, http.StatusTooManyRequests, RanNo, shortRetryAfter, "The client account is over its rate of requests."},
	{LimitTokens, ClassRateLimit, http.StatusTooManyRequests, RanNo, shortRetryAfter, "The client account is over its rate of tokens."},
	{LimitConcurrency, ClassRateLimit, http.StatusTooManyRequests, RanNo, shortRetryAfter, "The client account has too many requests in flight."},
	{QueueFull, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "Too many requests are waiting."},
	{Overloaded, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "The request could not start in time."},
	{NoUpstream, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "No healthy upstream serves this."},
	{Quarantined, ClassUnavailable, http.StatusServiceUnavailable, RanNo, longRetryAfter, "Upstreams that ran such requests crashed."},
	{UpstreamsPaused, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "Every healthy upstream has asked for a pause."},
	{UpstreamsLimited, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "This VM has used its part of the requests that every healthy upstream takes."},
	{UpstreamsFull, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "This VM has used its part of the places of upstreams that must not be filled."},
	{NoUpstreamInRegion, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "No healthy upstream serves this in the regions in which the request may be served."},
	{UpstreamsEvacuated, ClassUnavailable, http.StatusServiceUnavailable, RanNo, longRetryAfter, "The failure domains of all healthy upstreams that serve this are evacuated."},
	{UpstreamsCold, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "Every healthy upstream has just started and takes no more requests now."},
	{OutOfReach, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "No VM that was asked reaches an upstream that serves this."},
	{PeerBusy, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "This VM relays as many requests of other VMs as it may."},
	{PeerBehind, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "This VM has an older configuration than the VM that asked it to relay the request."},
	{RetriesExhausted, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "Every try failed before an upstream started."},
	{DeadlineExceeded, ClassUnavailable, http.StatusGatewayTimeout, RanUnknown, 0, "The answer did not come before the deadline."},
	{UpstreamFailed, ClassUpstream, http.StatusBadGateway, RanUnknown, 0, "The upstream failed after it was sent the request."},
	{UpstreamRejected, ClassUpstream, http.StatusBadGateway, RanUnknown, 0, "The upstream refused the request."},
	{AnswerCut, ClassUpstream, http.StatusBadGateway, RanUnknown, 0, "The answer could not be finished."},
	{OutcomeUnknown, ClassConflict, http.StatusConflict, RanUnknown, 0, "An earlier request with this key may have run; its outcome is unknown."},
	{KeyReused, ClassConflict, http.StatusUnprocessableEntity, RanNo, 0, "The idempotency key belongs to another request."},
	{KeyInProgress, ClassConflict, http.StatusConflict, RanUnknown, shortRetryAfter, "A request with this key is running."},
	{KeyInvalid, ClassRequest, http.StatusBadRequest, RanNo, 0, "The idempotency key is malformed or stands twice."},
	{ClaimsUnavailable, ClassUnavailable, http.StatusServiceUnavailable, RanNo, longRetryAfter, "The claim could not be recorded; this attempt was not run, earlier attempts are unknown."},
	{BillingUnavailable, ClassUnavailable, http.StatusServiceUnavailable, RanNo, longRetryAfter, "Billing records cannot be kept at present."},
	{ConfigurationStale, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "This VM does not know whether its configuration is in force."},
	{Draining, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "This VM is leaving."},
	{MemoryFull, ClassUnavailable, http.StatusServiceUnavailable, RanNo, shortRetryAfter, "This VM has no memory left for the body of the request."},
	{TakeoverQuiet, ClassUnavailable, http.StatusServiceUnavailable, RanNo, longRetryAfter, "The call is moving between routers."},
	{LoopDetected, ClassRequest, http.StatusLoopDetected, RanNo, 0, "The request has passed this router before."},
	{StreamUnknown, ClassRequest, http.StatusNotFound, RanUnknown, 0, "No answer with this request id can be resumed here."},
	{CallerGone, ClassRequest, 499, RanUnknown, 0, "The caller went away."},
	{InternalFault, ClassUnavailable, http.StatusInternalServerError, RanUnknown, 0, "The router failed."},
}

var specByReason = indexSpecs()

func indexSpecs() map[Reason]Spec {
	m := make(map[Reason]Spec, len(specs))
	for _, s := range specs {
		m[s.Reason] = s
	}
	return m
}

// All returns the specs of all reasons, in a fixed order.
func All() []Spec {
	return append([]Spec(nil), specs...)
}
