package relay

import (
	"context"
	"log/slog"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/vm"
)

// Metrics holds the relay's counters, histograms and gauge.
type Metrics struct {
	requests     *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	retries      *prometheus.CounterVec
	cascadeSteps *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	firstEvent   *prometheus.HistogramVec
	inFlight     prometheus.Gauge
	// peerAttempts counts what this VM asked others to relay, and relayed what it was asked.
	peerAttempts *prometheus.CounterVec
	// moves counts streams that were too slow to end in time.
	moves   *prometheus.CounterVec
	relayed *prometheus.CounterVec
	// slowCallers counts the callers that were ended because they read too slowly.
	slowCallers *prometheus.CounterVec
	// aborted counts the requests that a planned stop ended.
	aborted *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with r. It panics if one of
// them is registered already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 14)
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_relay_requests_total", Help: "Requests by route, outcome and status."},
			[]string{"route", "outcome", "status"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_relay_attempts_total", Help: "Attempts at upstreams by service and outcome."},
			[]string{"service", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_relay_retries_total", Help: "Decisions on a further attempt by failure and reason."},
			[]string{"failure", "reason"}),
		cascadeSteps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_relay_cascade_steps_total", Help: "Weak answers of a cascade by what became of them."},
			[]string{"outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "poplarshore_relay_request_seconds", Help: "Time to the end of an answer by route.", Buckets: buckets},
			[]string{"route"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "poplarshore_relay_first_event_seconds", Help: "Time to the first event of a stream by route.", Buckets: buckets},
			[]string{"route"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "poplarshore_relay_in_flight", Help: "Requests in flight."}),
	}
	m.peerAttempts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_relay_peer_attempts_total", Help: "Requests that other VMs were asked to relay, by outcome."},
		[]string{"outcome"})
	m.relayed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_relay_peer_requests_total", Help: "Requests that this VM was asked to relay, by outcome."},
		[]string{"outcome"})
	m.moves = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_relay_moves_total", Help: "Streams too slow to end in time, by whether they went on elsewhere and how they ended."},
		[]string{"outcome"})
	m.slowCallers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_relay_slow_callers_total", Help: "Callers that were ended because they read too slowly, by reason."},
		[]string{"reason"})
	m.aborted = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_relay_aborted_total",
		Help: "Requests that the end of a planned stop's grace ended, by what their callers got: answered, cut or unsent."},
		[]string{"end"})
	r.MustRegister(m.aborted, m.slowCallers, m.requests, m.attempts, m.retries, m.cascadeSteps, m.latency, m.firstEvent, m.inFlight, m.peerAttempts, m.relayed, m.moves)
	return m
}

// record updates the metrics at the end of an exchange and logs the request.
// The outcome is "answered" or the reason of a refusal; status is the HTTP
// status sent, or 0 if the response was aborted.
func (s *Server) record(x *exchange, outcome string, status int) {
	name, version := "", int64(0)
	if x.route != nil {
		name = x.route.Name
	}
	if x.table != nil {
		version = x.table.Version()
	}
	took := s.Clock.Since(x.startedAt)
	relayFor := vm.ID("")
	if x.hop != nil {
		relayFor = x.hop.from
		s.Metrics.relayed.WithLabelValues(outcome).Inc()
	}
	x.recordMoved(outcome)
	if x.abortEnd != "" {
		s.Metrics.aborted.WithLabelValues(string(x.abortEnd)).Inc()
	}
	s.Metrics.requests.WithLabelValues(name, outcome, strconv.Itoa(status)).Inc()
	s.Metrics.latency.WithLabelValues(name).Observe(took.Seconds())
	level := slog.LevelInfo
	if outcome != "answered" {
		level = slog.LevelWarn
	}
	s.Log.Log(context.Background(), level, "request", "request", x.request.ID, "outcome", outcome, "status", status, "route", name,
		"account", x.account, "service", x.service, "config", version, "config_age_ms", x.configAgeMS(), "priority", x.priority,
		"path", x.request.Path, "session", x.request.Session, "prompt_tokens", x.request.PromptTokens, "keys", x.lostKeys(), "attempts", x.attemptLog,
		"last_event", x.lastEvent, "ms", took.Milliseconds(),
		"left_ms", x.timeLeft().Milliseconds(), "relay_for", relayFor, "detail", x.refusalDetail, "aborted", x.abortEnd)
}

// unknownAgeMS is logged in place of an age that is not known.
const unknownAgeMS = -1

// configAgeMS returns how old the copy of the configuration was, in ms, when the request was admitted or refused by it.
func (x *exchange) configAgeMS() int64 {
	if !x.configAge.known {
		return unknownAgeMS
	}
	return x.configAge.age.Milliseconds()
}
