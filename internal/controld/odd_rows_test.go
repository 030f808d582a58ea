package controld

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/rollout"
)

// newTestOddRows returns an oddRows with its log and counter.
func newTestOddRows() (*oddRows, *bytes.Buffer, prometheus.Counter) {
	log, count := &bytes.Buffer{}, prometheus.NewCounter(prometheus.CounterOpts{Name: "odd"})
	return newOddRows(slog.New(slog.NewTextHandler(log, nil)), count), log, count
}

// Guards against a log that fills up with one odd row, and against a row that is never
// mentioned.
func TestOddRowIsLoggedAndCountedOncePerVersion(t *testing.T) {
	odd, log, count := newTestOddRows()
	for _, version := range []store.Version{"", "", "1", "1", "2"} {
		odd.record("a", version, rollout.ErrInvalid.New("odd"))
	}
	odd.record("b", "2", rollout.ErrInvalid.New("odd"))
	registry := prometheus.NewRegistry()
	registry.MustRegister(count)
	families, err := registry.Gather()
	if err != nil || len(families) != 1 {
		t.Fatalf("%v, %v", families, err)
	}
	counted := families[0].GetMetric()[0].GetCounter().GetValue()
	if lines := strings.Count(log.String(), "\n"); lines != 4 || counted != 4 {
		t.Errorf("%d lines, count %v, want 4\n%s", lines, counted, log)
	}
}

// Guards against a control process that decodes an unreadable configuration again in each
// round, without a word, and against one that no longer acts by the last readable one.
func TestUnreadableConfigurationIsLoggedOnceAndTheLastOneStays(t *testing.T) {
	odd, log, _ := newTestOddRows()
	node := revision.NewNode(revision.Options{ID: "a"})
	follower := &documentFollower{node: node, oddRows: odd}
	install := func(number uint64, body []byte) {
		if !node.Install(revision.Revision{Number: number, Hash: revision.HashOf(body)}, body) {
			t.Fatalf("revision %d not installed", number)
		}
	}
	install(1, examples.Quickstart)
	if index := follower.index(); index == nil || index.Number != 1 {
		t.Fatalf("index of revision 1: %v", index)
	}
	install(2, bytes.Repeat([]byte("["), 1_000_000))
	for range 3 {
		if index := follower.index(); index == nil || index.Number != 1 {
			t.Fatalf("index beside the unreadable revision: %v", index)
		}
	}
	if lines := strings.Count(log.String(), "\n"); lines != 1 {
		t.Errorf("%d lines, want 1\n%s", lines, log)
	}
	install(3, examples.Quickstart)
	if index := follower.index(); index == nil || index.Number != 3 {
		t.Fatalf("index of revision 3: %v", index)
	}
}
