package soak

import (
	"cmp"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/settings"
)

// repeatCounts are the requests for one service and their attempts beyond the first ones, by time.
type repeatCounts struct {
	requests, repeats []time.Time
}

// checkRepeats checks that all VMs together keep the limit of additional attempts in each span, whatever happened to them.
// Requests count in the span, in the one before it, or in the one half a span before it.
func (c *checker) checkRepeats() {
	if c.report.Floods != nil {
		// The limit of such runs is as high as that of the route.
		return
	}
	limits := settings.DefaultGateway().Retries
	span := limits.SpanS.Duration()
	for service, counts := range c.countRepeats() {
		for i, end := range counts.repeats {
			made := i + 1 - countBefore(counts.repeats, end.Add(-span))
			requests := 0
			for _, back := range []time.Duration{0, span / 2, span} {
				to := end.Add(-back)
				requests = max(requests, countBefore(counts.requests, to)-countBefore(counts.requests, to.Add(-span)))
			}
			if allowed := limits.Ratio*float64(requests) + limits.Slack; float64(made) > allowed {
				c.addViolation("%s: %d attempts beyond the first ones in %v for %d requests, allowed %.0f", service, made, span, requests, allowed)
				break
			}
		}
	}
}

// countRepeats returns the requests and the attempts beyond the first ones of each service, sorted by time.
func (c *checker) countRepeats() map[string]*repeatCounts {
	byService := map[string]*repeatCounts{modelService: {}, orderService: {}}
	for _, x := range c.exchanges {
		counts := byService[x.service()]
		counts.requests = append(counts.requests, x.sentAt)
		var runs []time.Time
		for _, run := range c.runs[x.id] {
			runs = append(runs, run.At)
		}
		slices.SortFunc(runs, time.Time.Compare)
		counts.repeats = append(counts.repeats, runs[min(1, len(runs)):]...)
	}
	for _, counts := range byService {
		slices.SortFunc(counts.requests, time.Time.Compare)
		slices.SortFunc(counts.repeats, time.Time.Compare)
	}
	return byService
}

// countBefore returns the number of times that are not after a time. The times are sorted.
func countBefore(times []time.Time, end time.Time) int {
	n, _ := slices.BinarySearchFunc(times, end, func(t, end time.Time) int {
		return cmp.Or(t.Compare(end), -1)
	})
	return n
}
