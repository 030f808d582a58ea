package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// Bounds are the time bounds that the gateways have to meet.
type Bounds struct {
	// SettleTime is how long the VM of a request, the store and the upstreams must have
	// been undisturbed before the other bounds apply.
	SettleTime time.Duration
	// Config is the maximum time until an accepted configuration is in force. Drain is the
	// maximum time until a draining upstream receives no new requests, and Rollback the same
	// for a version that was found bad.
	Config, Drain, Rollback time.Duration
	// Evacuate is the maximum time until the upstreams of an evacuated failure domain receive no
	// new requests.
	Evacuate time.Duration
	// LimitDelay is the time from which on a limit that an upstream names is kept, over any
	// LimitSpan.
	LimitDelay, LimitSpan time.Duration
	// LossSlack is the time after the last byte of a request within which a connection may end
	// without an answer, if the request was not passed on. No HostAllowance is added to it.
	LossSlack time.Duration
	// HostAllowance is added to Evacuate, LimitDelay and the settle times of other checks than those of Config, Drain and
	// Rollback, as the host may be busy. Those allow for the measured stalls of the host.
	HostAllowance time.Duration
}

// DefaultBounds returns the bounds that apply on the users' platform.
func DefaultBounds() Bounds {
	return Bounds{
		SettleTime: 4 * time.Second, Config: 3 * time.Second, Drain: 3 * time.Second, Rollback: 5 * time.Second, Evacuate: 5 * time.Second,
		LimitDelay: 4 * time.Second, LimitSpan: 4 * time.Second, LossSlack: 200 * time.Millisecond, HostAllowance: time.Second,
	}
}

// checker compares the responses that callers received with the requests that upstreams
// ran, and adds violations to the report.
type checker struct {
	testbed   *testbed
	bounds    Bounds
	exchanges []exchange
	runs      map[string][]standin.Run // by request ID
	// ranOn holds the engines that ran a request, by its ID.
	ranOn map[string][]*engine
	// brokenOff holds the IDs of the requests that ran on an engine which was stopped before they ended.
	brokenOff map[string]bool
	report    *Report
}

func (c *checker) addViolation(format string, args ...any) {
	c.report.Violations = append(c.report.Violations, fmt.Sprintf(format, args...))
}

func (c *checker) check() {
	c.collectRuns()
	c.collectBrokenOff()
	for _, x := range c.exchanges {
		c.checkResponse(x)
		c.checkRuns(x)
		c.checkConfiguration(x)
		c.checkPlannedStops(x)
		c.checkAnswered(x)
		c.checkSilence(x)
		c.checkFloods(x)
		c.checkOddRows(x)
		c.checkLookupServices(x)
	}
	c.checkTimeouts()
	c.checkConfigurationOrder()
	c.checkSlowVersions()
	c.checkExclusions()
	c.checkRegions()
	c.checkLimits()
	c.checkRepeats()
	c.checkCulprits()
	c.checkCuts()
	c.checkFragileTimes()
	c.checkEnds()
	c.checkMemory()
	if n := c.testbed.addEngineErrors.Load(); n > 0 {
		c.addViolation("%d upstreams could not be started after a crash", n)
	}
}

// collectRuns groups the runs of all upstreams by request ID. A run that differs from the
// request with its ID in path, body or account is a violation.
func (c *checker) collectRuns() {
	c.runs, c.ranOn = make(map[string][]standin.Run), make(map[string][]*engine)
	known := make(map[string]exchange, len(c.exchanges))
	for _, x := range c.exchanges {
		known[x.id] = x
	}
	for _, e := range c.testbed.allEngines {
		for _, run := range e.Runs() {
			c.runs[run.ID] = append(c.runs[run.ID], run)
			c.ranOn[run.ID] = append(c.ranOn[run.ID], e)
			x, ok := known[run.ID]
			if !ok || run.Path != x.path || run.Body != x.requestBody() || run.Account != "account-of-"+x.key {
				c.addViolation("%s ran %q at %s for %s, which no caller sent", e.ID, run.ID, run.Path, run.Account)
			}
		}
	}
}

// checkResponse counts the outcome of a request and checks that a successful response is
// complete, belongs to the request and contains the seal of an upstream.
func (c *checker) checkResponse(x exchange) {
	response := x.response
	c.report.Outcomes[outcome(x)]++
	switch {
	case response.Incomplete || response.Status != http.StatusOK:
		return
	case response.Seal() == "":
		c.addViolation("%s: status 200 without the seal of an upstream", x.id)
	case x.kind == streamRequest && response.Body != standin.StreamBody(streamEvents):
		c.addViolation("%s: stream is incomplete or has duplicate events: %d bytes", x.id, len(response.Body))
	case x.kind != streamRequest && !c.isCompletePlainResponse(x):
		c.addViolation("%s: response %q belongs to another request", x.id, response.Body)
	}
}

// isCompletePlainResponse reports whether a response without events is complete and by the
// upstream whose seal it contains.
func (c *checker) isCompletePlainResponse(x exchange) bool {
	method := http.MethodPost
	if x.kind != orderRequest {
		method = http.MethodGet
	}
	engineID := strings.TrimPrefix(x.response.Seal(), standin.SealOf(""))
	return x.response.Body == standin.PlainBody(method, x.path, engineID)
}

// outcome returns the key of a request in Report.Outcomes.
func outcome(x exchange) string {
	if x.response.Incomplete {
		return string(x.kind) + "_cut"
	}
	return fmt.Sprintf("%s_%d", x.kind, x.response.Status)
}

// checkRuns checks that a request ran no more often than allowed: a non-idempotent call
// once, others maxAttempts times, and one that was refused with 429 or 503 not at all.
func (c *checker) checkRuns(x exchange) {
	runs := len(c.runs[x.id])
	switch status := x.response.Status; {
	case x.kind == orderRequest && runs > 1:
		c.addViolation("%s: a non-idempotent call ran %d times", x.id, runs)
	case runs > maxAttempts:
		c.addViolation("%s: ran %d times", x.id, runs)
	case !x.response.Incomplete && runs > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		c.addViolation("%s: refused with %d, but ran %d times", x.id, status, runs)
	}
}

// undisturbed reports whether there was no disturbance of the request's VM, the store or an
// upstream during the request and the settle time before it, and no planned stop of the VM.
func (c *checker) undisturbed(x exchange) bool {
	from := x.sentAt.Add(-c.bounds.SettleTime - c.bounds.HostAllowance)
	return c.inTouchSince(x, from) && c.testbed.upstreamDisturbances.noneOverlap(from, x.doneAt)
}

// inTouch reports whether there was no disturbance of the request's VM or the store during the request and the settle
// time before it, and no planned stop of the VM. Faults of upstreams excuse nobody from following the store.
func (c *checker) inTouch(x exchange) bool {
	from := x.sentAt.Add(-c.bounds.SettleTime)
	return c.inTouchSince(x, from.Add(-c.testbed.hostStalls.overlap(from, x.sentAt)))
}

func (c *checker) inTouchSince(x exchange, from time.Time) bool {
	return x.vm.disturbances.noneOverlap(from, x.doneAt) && x.vm.stopPeriods.noneOverlap(from, x.doneAt) && c.testbed.storeDisturbances.noneOverlap(from, x.doneAt)
}

// calm reports whether neither the store nor an upstream was disturbed between two times.
func (b *testbed) calm(from, to time.Time) bool {
	return b.storeDisturbances.noneOverlap(from, to) && b.upstreamDisturbances.noneOverlap(from, to)
}

// checkConfiguration checks that an undisturbed request was handled by a configuration that
// could be in force at that time.
func (c *checker) checkConfiguration(x exchange) {
	if x.response.Incomplete || !c.inTouch(x) {
		return
	}
	servesPath := func(cfg configuration) bool { return x.kind != probeRequest || cfg.version == x.configVersion }
	acceptsKey := func(cfg configuration) bool { return cfg.keys[x.key] }
	possible := c.possibleConfigurations(x)
	from, to := possible[0].version, possible[len(possible)-1].version
	switch x.response.Status {
	case http.StatusNotFound:
		if allMatch(possible, servesPath) {
			c.addViolation("%s at %s: path %s was not found, but all of configurations %d to %d serve it", x.id, x.vm.ID, x.path, from, to)
		}
	case http.StatusUnauthorized:
		if allMatch(possible, acceptsKey) {
			c.addViolation("%s at %s: key %s was refused, but all of configurations %d to %d accept it", x.id, x.vm.ID, x.key, from, to)
		}
	case http.StatusOK:
		if !slices.ContainsFunc(possible, servesPath) {
			c.addViolation("%s at %s: path %s was served, but none of configurations %d to %d serves it", x.id, x.vm.ID, x.path, from, to)
		}
		if !slices.ContainsFunc(possible, acceptsKey) {
			c.addViolation("%s at %s: key %s was accepted, but none of configurations %d to %d accepts it", x.id, x.vm.ID, x.key, from, to)
		}
	}
}

// allMatch reports whether the condition is true of every configuration.
func allMatch(configurations []configuration, matches func(configuration) bool) bool {
	return !slices.ContainsFunc(configurations, func(cfg configuration) bool { return !matches(cfg) })
}

// possibleConfigurations returns the configurations that can be in force during a request,
// oldest first: the newest one that must be in force when it is sent, and all that were
// offered between then and the response.
func (c *checker) possibleConfigurations(x exchange) []configuration {
	var possible []configuration
	for _, cfg := range slices.Backward(c.testbed.history()) {
		if cfg.offeredAt.After(x.doneAt) {
			continue
		}
		possible = append(possible, cfg)
		if c.exceeds(c.bounds.Config, cfg.acceptedAt, x.sentAt) {
			break
		}
	}
	slices.Reverse(possible)
	return possible
}

// checkPlannedStops checks that no planned stop truncated the response of a request that the
// VM had accepted, unless another disturbance or a flood may have been the cause, or the platform stopped the engine
// that worked on it at the end of a roll-out.
func (c *checker) checkPlannedStops(x exchange) {
	if !x.response.Incomplete || c.runs[x.id] == nil || c.brokenOff[x.id] || c.besideFloods(x) {
		return
	}
	for _, s := range c.report.plannedStops {
		from := s.at.Add(-c.bounds.SettleTime)
		undisturbed := c.testbed.calm(from, x.doneAt) && c.testbed.crashes.noneOverlap(from, x.doneAt) && s.vm.disturbances.noneOverlap(from, x.doneAt) &&
			s.vm.cuts.noneOverlap(from, x.doneAt)
		if s.vm == x.vm && undisturbed && x.sentAt.Before(s.at.Add(s.acceptsFor)) && x.doneAt.After(s.at) {
			c.addViolation("%s: response was truncated by the planned stop of %s after %s: %v", x.id, x.vm.ID, x.doneAt.Sub(x.sentAt), x.response.Err)
		}
	}
}

// checkEnds checks that no process ended without a signal.
func (c *checker) checkEnds() {
	for _, v := range c.testbed.vms {
		for _, name := range v.unexpectedEnds() {
			c.addViolation("%s ended by itself", name)
		}
	}
}

// checkConfigurationOrder checks that no process returned to an older configuration. It
// compares only requests of which one ended before the other was sent.
func (c *checker) checkConfigurationOrder() {
	probesByProcess := make(map[string][]exchange)
	for _, x := range c.exchanges {
		if x.kind == probeRequest && !x.response.Incomplete && x.response.Status == http.StatusOK {
			probesByProcess[x.process] = append(probesByProcess[x.process], x)
		}
	}
	for process, probes := range probesByProcess {
		slices.SortFunc(probes, func(a, b exchange) int { return a.doneAt.Compare(b.doneAt) })
		for i, later := range probes {
			for _, earlier := range probes[:i] {
				if earlier.doneAt.Before(later.sentAt) && earlier.configVersion > later.configVersion {
					c.addViolation("%s returned from configuration %d to the older %d", process, earlier.configVersion, later.configVersion)
				}
			}
		}
	}
}

// checkLimits checks that upstreams that named a limit got no more than one and a half
// times that, and five requests, if no VM was disturbed. A disturbed VM may have been told
// in an answer that it never got.
func (c *checker) checkLimits() {
	for _, l := range c.report.limits {
		calm := c.testbed.calm(l.since, l.until)
		for _, v := range c.testbed.vms {
			calm = calm && v.disturbances.noneOverlap(l.since, l.until) && v.stopPeriods.noneOverlap(l.since, l.until)
		}
		allowed := 1.5*l.perSecond*c.bounds.LimitSpan.Seconds() + 5
		got := l.engine.MostArrivalsBetween(c.bounds.LimitSpan, l.since.Add(c.bounds.LimitDelay), l.until)
		if calm && float64(got) > allowed {
			c.addViolation("%s got %d requests in %v under a limit of %.1f a second", l.engine.ID, got, c.bounds.LimitSpan, l.perSecond)
		}
	}
}

// checkExclusions checks that upstreams that are leaving and upstreams of versions found bad
// got no request after the bound from a VM in touch, unless the link to them was disturbed on the way.
func (c *checker) checkExclusions() {
	byID := make(map[string]exchange, len(c.exchanges))
	for _, x := range c.exchanges {
		byID[x.id] = x
	}
	for _, excluded := range c.report.exclusions {
		for _, e := range excluded.engines {
			for _, run := range e.Runs() {
				x := byID[run.ID]
				if x.vm == nil || !c.exceeds(excluded.bound, excluded.since, run.At) || !c.inTouch(x) {
					continue
				}
				if e.linkDisturbances.noneOverlap(run.At.Add(-c.bounds.SettleTime), run.At) {
					c.addViolation("%s at %s: reached %s %s after it was %s", run.ID, x.vm.ID, e.ID, run.At.Sub(excluded.since), excluded.reason)
				}
			}
		}
	}
	slices.SortFunc(c.report.Violations, cmp.Compare)
}
