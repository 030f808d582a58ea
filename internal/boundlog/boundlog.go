// Package boundlog keeps a process's log from costing it its work: lines go
// through a ring to one writer, and what comes faster than the bounds is left
// out and counted. Warnings have a bound of their own, so that no number of
// ordinary lines displaces them. Nothing here blocks a request.
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
	// ringLines is the number of lines that wait for the writer at most.
	ringLines = 2048
	// ordinaryPerSecond and warningsPerSecond bound the lines of each level.
	ordinaryPerSecond = 100
	warningsPerSecond = 200
	// burst is the number of lines that may come at once.
	burst = 400
)

// Writer passes lines on to one goroutine. It implements io.Writer.
type Writer struct {
	lines   *ring.Ring[[]byte]
	dropped *prometheus.CounterVec
}

// New returns a writer without lines.
func New(registry prometheus.Registerer) *Writer {
	w := &Writer{
		lines: ring.New[[]byte](ringLines),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "poplarshore_log_dropped_total", Help: "Log lines left out, by reason.",
		}, []string{"reason"}),
	}
	registry.MustRegister(w.dropped)
	return w
}

// Write implements io.Writer; it never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.Offer(bytes.Clone(line)) {
		w.dropped.WithLabelValues("ring_full").Inc()
	}
	return len(line), nil
}

// Run writes lines out until ctx ends, and then those that wait.
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

// flush writes a line and all that wait behind it at once.
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

// handler leaves out lines beyond the bounds.
type handler struct {
	slog.Handler
	writer             *Writer
	ordinary, warnings *rate.Limiter
}

// Handler bounds the lines of a handler that writes to w.
func (w *Writer) Handler(inner slog.Handler) slog.Handler {
	return &handler{
		Handler: inner, writer: w,
		ordinary: rate.NewLimiter(ordinaryPerSecond, burst),
		warnings: rate.NewLimiter(warningsPerSecond, burst),
	}
}

// Handle implements slog.Handler.
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
	out := *h
	out.Handler = h.Handler.WithAttrs(attrs)
	return &out
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	out := *h
	out.Handler = h.Handler.WithGroup(name)
	return &out
}
