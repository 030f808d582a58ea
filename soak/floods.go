package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
	"github.com/poplarshore/poplarshore/settings"
)

// floodFault lets engines send bytes that are no answer, without end. It is a kind of its own list, because the seeds of
// regressions depend on the number of faultKinds.
var floodFault = faultKind{"engine_flood", (*injector).floodEngines}

const (
	// A flood begins with the requests of minFloodTime or more, and of less than maxFloodTime. It lasts until the VM closes.
	minFloodTime = time.Second
	maxFloodTime = 4 * time.Second
	// All engines of a service flood in one case of allFloodIn.
	allFloodIn = 4
	// floodTimeoutSlack is how much later than its time a request may end.
	floodTimeoutSlack = 500 * time.Millisecond
)

// FloodReport is what was checked beside engines that flood.
type FloodReport struct {
	// Places counts the floods by place.
	Places map[string]int `json:"places"`
	// PeakBytes is the largest resident memory of a process, of those for which it was read.
	PeakBytes int64 `json:"peak_bytes"`
	// Neighbours is the number of requests to services without a flood, and Flooded that of those to a service with one.
	Neighbours int `json:"neighbours"`
	Flooded    int `json:"flooded"`
	// Unanswered counts those of Flooded that ended without an answer, as the rules allow, by reason.
	Unanswered map[string]int `json:"unanswered"`
}

func (r *Report) addFloodPlace(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Floods.Places[name]++
}

// floodEngines lets some engines of one or both services flood in place of answering. No engine is replaced meanwhile, so
// that it is known whether a service has a sound engine.
func (f *injector) floodEngines(ctx context.Context, rng *rand.Rand) {
	if !f.replaceMu.TryLock() {
		return
	}
	defer f.replaceMu.Unlock()
	services := [][]string{{modelService}, {orderService}, {modelService, orderService}}[rng.IntN(3)]
	length := minFloodTime + time.Duration(rng.Int64N(int64(maxFloodTime-minFloodTime)))
	for _, service := range services {
		engines := f.bed.registered(service, "")
		all := rng.IntN(allFloodIn) == 0
		count := len(engines)
		if !all && count > 1 {
			count = 1 + rng.IntN(count-1)
		}
		places := floodPlacesFor(service, f.floodPlaces)
		if len(places) == 0 {
			continue
		}
		defer f.bed.floodsOf(service).begin()()
		if count == len(engines) {
			defer f.bed.fullFloods.begin()()
		}
		for _, i := range rng.Perm(len(engines))[:count] {
			place := places[rng.IntN(len(places))]
			f.report.addFloodPlace(place.name)
			engines[i].flood.Store(&place)
			defer engines[i].flood.Store(nil)
		}
	}
	sleep(ctx, length)
}

// siteRetrySlack and siteExposureSlack are those of the deployment of the smallest VMs.
const (
	siteRetrySlack    = 52
	siteExposureSlack = 30
)

// changeSettings changes the settings of a VM: to those of the smallest VMs, or in runs with floods to little memory, and as
// many retries as the attempts of a route allow, so that a used-up budget does not explain requests that no sound engine got.
func (o Options) changeSettings(s *settings.Gateway) {
	if o.SiteSettings {
		s.MemoryMB, s.Retries.Slack, s.ExposureSlack, s.LoadControl.Admission = smallestMemoryMB, siteRetrySlack, siteExposureSlack, true
	}
	if o.Floods {
		s.MemoryMB, s.Retries.Ratio = smallestMemoryMB, maxAttempts
	}
}

// floodsOf returns the intervals in which engines of a service flood.
func (b *testbed) floodsOf(service string) *intervals {
	if service == modelService {
		return &b.modelFloods
	}
	return &b.orderFloods
}

// flooded returns the flood with which the engine answers a request. One that states that the request was not run is counted.
func (e *engine) flooded(r *http.Request, place *floodPlace) standin.Behaviour {
	if place.flood.NotRun {
		e.rejectedMu.Lock()
		defer e.rejectedMu.Unlock()
		if e.rejected == nil {
			e.rejected = make(map[string]int)
		}
		e.rejected[r.Header.Get("X-Attempt-Id")]++
	}
	return standin.Behaviour{Flood: &place.flood}
}

// Runs returns the requests that the engine ran, without those for which it stated that it did not.
func (e *engine) Runs() []standin.Run {
	e.rejectedMu.Lock()
	defer e.rejectedMu.Unlock()
	skipped := make(map[string]int)
	return slices.DeleteFunc(e.Engine.Runs(), func(run standin.Run) bool {
		if skipped[run.ID] == e.rejected[run.ID] {
			return false
		}
		skipped[run.ID]++
		return true
	})
}

// service returns the service of the request.
func (x exchange) service() string {
	if x.kind == streamRequest {
		return modelService
	}
	return orderService
}

// besideFloods reports whether floods of the request's service were possible from the settle time before it to its end.
func (c *checker) besideFloods(x exchange) bool {
	return !c.testbed.floodsOf(x.service()).noneOverlap(x.sentAt.Add(-c.bounds.SettleTime-c.bounds.HostAllowance), x.doneAt)
}

// checkFloods checks requests beside floods alone. Those to a service without a flood get a whole answer within the
// target of their route; others end by their time, with a whole answer or a true refusal if a sound engine could have run them.
func (c *checker) checkFloods(x exchange) {
	if c.report.Floods == nil || x.lastByteAt().IsZero() || !x.wholeAt.IsZero() || !c.onlyFloods(x) {
		return
	}
	switch {
	case !c.testbed.floodsOf(x.service()).noneOverlap(x.sentAt, x.doneAt):
		c.checkFlooded(x)
	case !c.besideFloods(x) && !c.otherFloods(x).noneOverlap(x.sentAt, x.doneAt):
		c.checkNeighbour(x)
	}
}

// otherFloods returns the floods of the services other than the request's.
func (c *checker) otherFloods(x exchange) *intervals {
	if x.kind == streamRequest {
		return &c.testbed.orderFloods
	}
	return &c.testbed.modelFloods
}

// checkNeighbour checks a request to a service whose engines are all sound. It may be late by the time in which the host stalled.
func (c *checker) checkNeighbour(x exchange) {
	c.report.Floods.Neighbours++
	target := callTarget
	if x.kind == streamRequest {
		target = streamTarget
	}
	took, refused := x.doneAt.Sub(x.sentAt), slices.Contains(notRunStatuses, x.response.Status)
	if refused || !c.isAnswered(x) || x.response.Status >= http.StatusInternalServerError || took > target+c.bounds.HostAllowance+c.testbed.hostStalls.overlap(x.sentAt, x.doneAt) {
		c.addViolation("%s at %s: sent at %s beside floods of another service, run %d times, ended with status %d after %s: %v",
			x.id, x.process, x.sentAt.Format(time.StampMilli), len(c.runs[x.id]), x.response.Status, took, x.response.Err)
	}
}

// checkFlooded checks a request to a service of which one or more engines flood.
func (c *checker) checkFlooded(x exchange) {
	c.report.Floods.Flooded++
	took := x.doneAt.Sub(x.sentAt)
	late := took > x.timeLimit()+floodTimeoutSlack+c.testbed.hostStalls.overlap(x.sentAt, x.doneAt)
	if c.isAnswered(x) && !late {
		return
	}
	if reason := c.floodExcuse(x); reason != "" && !late {
		c.report.Floods.Unanswered[reason]++
		return
	}
	c.addViolation("%s at %s: sent at %s beside floods of its service, run %d times, ended with status %d after %s: %v",
		x.id, x.process, x.sentAt.Format(time.StampMilli), len(c.runs[x.id]), x.response.Status, took, x.response.Err)
}

// floodExcuse returns why the rules allow a request to a service with a flood to end without an answer; empty if they don't. Floods
// go on after they began for some time, in which they use up the share of the memory that their engine may fill.
func (c *checker) floodExcuse(x exchange) string {
	runs := len(c.runs[x.id])
	switch {
	case x.kind == orderRequest && runs > 0:
		return "ran_once"
	case runs >= maxAttempts:
		return "attempts_used"
	case runs > 0 && !c.testbed.fullFloods.noneOverlap(x.sentAt.Add(-c.bounds.SettleTime), x.doneAt):
		return "no_sound_engine"
	}
	return ""
}

// onlyFloods reports whether nothing but floods, configurations and stops of other VMs came between the settle time before the
// request and its end.
func (c *checker) onlyFloods(x exchange) bool {
	from := x.sentAt.Add(-c.bounds.SettleTime - c.bounds.HostAllowance)
	limited := slices.ContainsFunc(c.report.limits, func(l namedLimit) bool { return l.since.Before(x.doneAt) && l.until.After(from) })
	return c.onlyDisturbedByFloods(x) && !limited && len(c.report.evacuations) == 0 && !c.mayBeRestricted(x) &&
		x.vm.stopPeriods.noneOverlap(from, x.doneAt) && c.testbed.silences.noneOverlap(from, x.doneAt)
}
