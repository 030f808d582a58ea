package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/refusal"
)

// metrics are the entry's counters. Labels come from fixed sets.
type metrics struct {
	answers    prometheus.Counter
	refusals   *prometheus.CounterVec
	cut        *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	resumes    *prometheus.CounterVec
	dropped    *prometheus.CounterVec
	silent     prometheus.Counter
	callerGone prometheus.Counter
	hedges     prometheus.Counter
	tokens     prometheus.Counter
	firstPiece prometheus.Histogram
	claims     *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		answers:    counter("answers_total", "Requests answered whole."),
		refusals:   counters("refusals_total", "Refused requests by reason and by what is known of the run.", "reason", "ran"),
		cut:        counters("answers_cut_total", "Answers broken off, by reason.", "reason"),
		attempts:   counters("attempts_total", "Attempts at upstreams by outcome.", "outcome"),
		retries:    counters("retries_total", "Further attempts by the reason of the failure before.", "reason"),
		resumes:    counters("resumes_total", "Resumed streams by outcome.", "outcome"),
		dropped:    counters("pieces_dropped_total", "Pieces of answers dropped, by reason.", "reason"),
		silent:     counter("silent_connections_total", "Connections given up because nothing came."),
		callerGone: counter("callers_gone_total", "Callers that went away before the end of their answer."),
		hedges:     counter("hedges_total", "Second attempts started because the first was slow."),
		tokens:     counter("tokens_total", "Tokens of delivered answers, prompts included."),
		claims:     counters("claims_total", "Claims of non-idempotent requests by status.", "status"),
		firstPiece: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespaceMetrics, Name: "first_piece_seconds",
			Help:    "Time from a request's arrival to the first piece of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}),
	}
	for _, spec := range refusal.All() {
		m.refusals.WithLabelValues(string(spec.Reason), string(spec.Ran))
	}
	reg.MustRegister(m.answers, m.refusals, m.cut, m.attempts, m.retries, m.resumes, m.dropped,
		m.silent, m.callerGone, m.hedges, m.tokens, m.claims, m.firstPiece)
	return m
}

const namespaceMetrics = "poplarshore"

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespaceMetrics, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespaceMetrics, Name: name, Help: help}, labels)
}
