// Package command holds what the programs' command lines share.
package command

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/poplarshore/poplarshore/settings"
)

// Logger returns the logger that the settings describe.
func Logger(w io.Writer, l settings.Log) *slog.Logger {
	var level slog.Level
	// The settings were checked, so the level is known.
	_ = level.UnmarshalText([]byte(l.Level))
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// Signals returns a context that ends at the first SIGTERM or SIGINT, and one
// that ends at the second.
func Signals(parent context.Context) (first, second context.Context, release func()) {
	first, endFirst := context.WithCancel(parent)
	second, endSecond := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	done := make(chan struct{})
	go func() {
		for _, end := range []func(){endFirst, endSecond} {
			select {
			case <-signals:
				end()
			case <-done:
				return
			}
		}
	}()
	return first, second, func() {
		signal.Stop(signals)
		close(done)
		endFirst()
		endSecond()
	}
}
