package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/refusal"
)

// metrics are the server's metrics. The values of all labels come from fixed sets.
type metrics struct {
	answers           prometheus.Counter
	refusals          *prometheus.CounterVec
	answersCut        *prometheus.CounterVec
	attempts          *prometheus.CounterVec
	retries           *prometheus.CounterVec
	resumes           *prometheus.CounterVec
	piecesDropped     *prometheus.CounterVec
	silentConnections prometheus.Counter
	silencesOutwaited prometheus.Counter
	callersGone       prometheus.Counter
	hedges            prometheus.Counter
	tokens            prometheus.Counter
	timeToFirstPiece  prometheus.Histogram
	claims            *prometheus.CounterVec
	responsesNotKept  *prometheus.CounterVec
}

// The reasons why a response of a service was not read to its end.
const (
	notKeptTooLarge = "too_large"
	notKeptNoMemory = "no_memory"
)

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		answers: newCounter("answers_total", "Requests answered whole."),
		refusals: newCounterVec("refusals_total",
			"Refused requests by reason and by what is known of the run.", "reason", "ran"),
		answersCut:        newCounterVec("answers_cut_total", "Answers broken off, by reason.", "reason"),
		attempts:          newCounterVec("attempts_total", "Attempts at upstreams by outcome.", "outcome"),
		retries:           newCounterVec("retries_total", "Further attempts by the reason of the failure before.", "reason"),
		resumes:           newCounterVec("resumes_total", "Resumed streams by outcome.", "outcome"),
		piecesDropped:     newCounterVec("pieces_dropped_total", "Pieces of answers dropped, by reason.", "reason"),
		silencesOutwaited: newCounter("silences_outwaited_total", "Decisions to wait on for a silent engine, as no other one would take the request."),
		silentConnections: newCounter("silent_connections_total", "Connections given up because nothing came."),
		callersGone:       newCounter("callers_gone_total", "Callers that went away before the end of their answer."),
		hedges:            newCounter("hedges_total", "Second attempts started because the first was slow."),
		tokens:            newCounter("tokens_total", "Tokens of delivered answers, prompts included."),
		claims:            newCounterVec("claims_total", "Claims of non-idempotent requests by status.", "status"),
		responsesNotKept: newCounterVec("responses_not_kept_total",
			"Responses to calls that may run once only that were not read to their end, by reason.", "reason"),
		timeToFirstPiece: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "first_piece_seconds",
			Help:    "Time from a request's arrival to the first piece of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}),
	}
	for _, spec := range refusal.All() {
		m.refusals.WithLabelValues(string(spec.Reason), string(spec.Ran))
	}
	reg.MustRegister(m.answers, m.refusals, m.answersCut, m.attempts, m.retries, m.resumes, m.piecesDropped,
		m.silentConnections, m.silencesOutwaited, m.callersGone, m.hedges, m.tokens, m.claims, m.responsesNotKept, m.timeToFirstPiece)
	return m
}

const metricsNamespace = "poplarshore"

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, labels)
}
