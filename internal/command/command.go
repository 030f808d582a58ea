// Package command contains the parts that the command lines of the daemons share:
// flags, logging and signals.
package command

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/poplarshore/poplarshore/settings"
)

// Logger returns a logger that writes to w with the level and format in the settings.
func Logger(w io.Writer, l settings.Log) *slog.Logger {
	var level slog.Level
	// The error is ignored because the level was checked with the settings.
	_ = level.UnmarshalText([]byte(l.Level))
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// LogHangups logs each SIGHUP until stop is called: the settings are fixed for the lifetime of
// the process.
func LogHangups(log *slog.Logger) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
				log.Info("received SIGHUP; changes of the settings file take effect after a restart")
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// Signals returns a context that is cancelled by the first SIGTERM or SIGINT, and one that is
// cancelled by the next of them. If hurry names signals, only one of these cancels the second one,
// and others change nothing. Both contexts are also cancelled with parent. stop cancels both and
// restores the default handling of the signals; call it once.
func Signals(parent context.Context, hurry ...os.Signal) (firstSignal, secondSignal context.Context, stop func()) {
	firstSignal, cancelFirst := context.WithCancel(parent)
	secondSignal, cancelSecond := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case sig := <-signals:
				if firstSignal.Err() != nil && (len(hurry) == 0 || slices.Contains(hurry, sig)) {
					cancelSecond()
				}
				cancelFirst()
			case <-done:
				return
			}
		}
	}()
	return firstSignal, secondSignal, func() {
		signal.Stop(signals)
		close(done)
		cancelFirst()
		cancelSecond()
	}
}
