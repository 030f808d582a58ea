// Package boundlog bounds the cost of a process's log. Lines go through a bounded
// queue to one writing goroutine; lines over the rate limits, and lines that find
// the queue full, are dropped and counted. Warnings and errors have a separate rate
// limit, so that ordinary lines can't use it up. Logging never blocks a request.
package boundlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/poplarshore/poplarshore/internal/ring"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 2048
	// ordinaryLinesPerSecond limits the lines below warning level,
	// warningLinesPerSecond those from warning level.
	ordinaryLinesPerSecond = 100
	warningLinesPerSecond  = 200
	// burstLines is the burst that each of the two limits allows.
	burstLines = 400
)

// Writer queues log lines for the goroutine that calls Run. It implements
// io.Writer and is safe for concurrent use.
type Writer struct {
	lines   *ring.Ring[[]byte]
	dropped *prometheus.CounterVec
}

// New returns a writer with an empty queue. It registers its metric in the
// registry.
func New(registry prometheus.Registerer) *Writer {
	w := &Writer{
		lines: ring.New[[]byte](maxQueuedLines),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_log_dropped_total", Help: "Log lines left out, by reason.",
		}, []string{"reason"}),
	}
	registry.MustRegister(w.dropped)
	return w
}

// Write implements io.Writer. It never blocks or fails: a line that finds the queue
// full is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.Offer(bytes.Clone(line)) {
		w.dropped.WithLabelValues("ring_full").Inc()
	}
	return len(line), nil
}

// Run writes queued lines to out until ctx ends, and then the lines still queued.
func (w *Writer) Run(ctx context.Context, out io.Writer) {
	for {
		select {
		case line := <-w.lines.Items():
			w.flush(out, line)
		case <-ctx.Done():
			if w.lines.Len() > 0 {
				w.flush(out, nil)
			}
			return
		}
	}
}

// flush writes a line and all queued ones in one call of out. If that fails, it
// counts one drop.
func (w *Writer) flush(out io.Writer, line []byte) {
	batch := line
	for range w.lines.Len() {
		select {
		case next := <-w.lines.Items():
			batch = append(batch, next...)
		default:
		}
	}
	if _, err := out.Write(batch); err != nil {
		w.dropped.WithLabelValues("write_failed").Inc()
	}
}

// handler drops records over the rate limits.
type handler struct {
	slog.Handler
	writer             *Writer
	ordinary, warnings *rate.Limiter
}

// Handler returns a handler that passes records within the rate limits to inner and
// counts the dropped ones at w. All handlers derived from it share the limits.
func (w *Writer) Handler(inner slog.Handler) slog.Handler {
	return &handler{
		Handler: inner, writer: w,
		ordinary: rate.NewLimiter(ordinaryLinesPerSecond, burstLines),
		warnings: rate.NewLimiter(warningLinesPerSecond, burstLines),
	}
}

// Handle implements slog.Handler. It returns nil for a dropped record.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	limiter, reason := h.ordinary, "ordinary_bound"
	if r.Level >= slog.LevelWarn {
		limiter, reason = h.warnings, "warning_bound"
	}
	if !limiter.Allow() {
		h.writer.dropped.WithLabelValues(reason).Inc()
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	clone := *h
	clone.Handler = h.Handler.WithAttrs(attrs)
	return &clone
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	clone := *h
	clone.Handler = h.Handler.WithGroup(name)
	return &clone
}
