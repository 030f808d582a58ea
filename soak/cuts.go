package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// WayPath is the path at which a gateway of the soak takes changes of its way to upstreams.
const WayPath = "/way"

// PeersPath is the path at which a gateway of the soak takes changes of its way to other VMs.
const PeersPath = "/peers"

// LossPath is the path at which a gateway of the soak is asked to lose its open connections to upstreams and other VMs.
const LossPath = "/loss"

// cut is a time in which some VMs were cut off from all upstreams.
type cut struct {
	vms          []*VM
	since, until time.Time
}

// cutFault cuts VMs off from upstreams. It is a kind of its own list, because the seeds of
// regressions depend on the number of faultKinds.
var cutFault = faultKind{"cut_off", (*injector).cutOffVMs}

const (
	// A cut lasts the settle time, the allowance and measuredFor or more.
	measuredFor = 3 * time.Second
	// minServedShare is how often first tries at VMs that are cut off are served, as a share of
	// those at others, unless no more than allowedFailures and one in failuresPer fail there.
	minServedShare  = 2.0 / 3
	allowedFailures = 10
	failuresPer     = 50
	// wayTimeout bounds a call to change a way.
	wayTimeout = time.Second
)

// setWay changes the way of the VM's process to upstreams, also of those it starts later. A
// process that is down gets it with its start.
func (v *VM) setWay(ctx context.Context, mode standin.WayMode) {
	v.wayMode.Store(int32(mode))
	v.callControl(ctx, http.MethodPut, WayPath, strconv.Itoa(int(mode)))
}

// callControl asks the VM's process for a change of its connections. A process that is down has none.
func (v *VM) callControl(ctx context.Context, method, path, body string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wayTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.control+path, strings.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// cutOffVMs cuts one or more VMs off from all upstreams, but not all of them, in a random
// way. One cut in three comes in turns.
func (f *injector) cutOffVMs(ctx context.Context, rng *rand.Rand) {
	if !f.cutMu.TryLock() {
		return
	}
	defer f.cutMu.Unlock()
	count := 1 + rng.IntN(max(len(f.bed.vms)-1, 1))
	c := cut{since: time.Now()}
	for _, i := range rng.Perm(len(f.bed.vms))[:count] {
		c.vms = append(c.vms, f.bed.vms[i])
	}
	mode := standin.WayMode(1 + rng.IntN(int(standin.WayRefusesNew)))
	for _, v := range c.vms {
		defer v.cuts.begin()()
	}
	if rng.IntN(3) == 0 {
		f.setWays(ctx, c.vms, mode)
		sleep(ctx, randomDuration(rng)/2)
		f.setWays(ctx, c.vms, standin.WayOpen)
		sleep(ctx, randomDuration(rng)/2)
		c.since = time.Now()
	}
	f.setWays(ctx, c.vms, mode)
	sleep(ctx, f.bounds.SettleTime+f.bounds.HostAllowance+measuredFor+randomDuration(rng))
	c.until = time.Now()
	f.setWays(ctx, c.vms, standin.WayOpen)
	f.report.addCut(c)
}

func (f *injector) setWays(ctx context.Context, vms []*VM, mode standin.WayMode) {
	for _, v := range vms {
		v.setWay(ctx, mode)
	}
}

func (r *Report) addCut(c cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = append(r.cuts, c)
}

// served counts requests and those that were answered with success.
type served struct{ sent, answered int }

func (s served) share() float64 { return float64(s.answered) / float64(max(s.sent, 1)) }

// checkCuts checks that VMs that are cut off from upstreams serve about as often as others,
// from the settle time on, if nothing else was disturbed.
func (c *checker) checkCuts() {
	for _, period := range c.report.cuts {
		from := period.since.Add(c.bounds.SettleTime + c.bounds.HostAllowance)
		var atCut, atOthers served
		for _, x := range c.exchanges {
			if x.sentAt.Before(from) || x.sentAt.After(period.until) || !c.isProper(x) {
				continue
			}
			count := &atOthers
			if period.includes(x.vm) {
				count = &atCut
			}
			count.sent++
			if !x.response.Incomplete && x.response.Status == http.StatusOK {
				count.answered++
			}
		}
		failed := atCut.sent - atCut.answered
		allowed := allowedFailures + (atCut.sent+atOthers.sent)/failuresPer
		if failed > allowed && atCut.share() < minServedShare*atOthers.share() {
			c.addViolation("VMs cut off from upstreams served %d of %d, the others %d of %d", atCut.answered, atCut.sent, atOthers.answered, atOthers.sent)
		}
	}
}

func (c cut) includes(v *VM) bool {
	for _, member := range c.vms {
		if member == v {
			return true
		}
	}
	return false
}

// isProper reports whether a request is one that is served if nothing is disturbed.
func (c *checker) isProper(x exchange) bool {
	return x.key == permanentKey && x.kind != probeRequest && x.culprit == nil && c.undisturbed(x) && !c.besideFloods(x) &&
		c.testbed.crashes.noneOverlap(x.sentAt.Add(-c.bounds.SettleTime), x.doneAt)
}
