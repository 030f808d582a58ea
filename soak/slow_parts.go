package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// slowPartsFaults suspend the store, take processor time from VMs, and disturb the way between VMs. They are a list of
// their own, because the seeds of regressions depend on the number of faultKinds.
var slowPartsFaults = []faultKind{{"store_suspended", (*injector).suspendStore}, {"vm_slow", (*injector).slowVM}}

// peersFault disturbs the way from a VM to the others. Only gateways of the soak can be asked for it.
var peersFault = faultKind{"peers_unreachable", (*injector).disturbPeers}

const (
	// The faults of slowPartsFaults last minSlowTime or more, and less than maxSlowTime.
	minSlowTime = 3 * time.Second
	maxSlowTime = 8 * time.Second
	// A slow VM runs for runTime and then stands still for stillTime.
	runTime   = 40 * time.Millisecond
	stillTime = 60 * time.Millisecond
)

// slowTime draws the duration of one of slowPartsFaults.
func slowTime(rng *rand.Rand) time.Duration {
	return minSlowTime + time.Duration(rng.Int64N(int64(maxSlowTime-minSlowTime)))
}

// suspendStore lets the store answer nothing, over open connections and new ones, and then all that was asked meanwhile.
func (f *injector) suspendStore(ctx context.Context, rng *rand.Rand) {
	defer f.bed.storeDisturbances.begin()()
	for _, v := range f.bed.vms {
		v.storeLink.SetMode(Hold)
		defer v.storeLink.SetMode(Forward)
	}
	sleep(ctx, slowTime(rng))
}

// slowVM lets a VM run in turns only, as one whose share of a core is a quota. It is no disturbance.
func (f *injector) slowVM(ctx context.Context, rng *rand.Rand) {
	v := f.pickVM(rng)
	if !v.stopMu.TryLock() {
		return
	}
	defer v.stopMu.Unlock()
	end := time.Now().Add(slowTime(rng))
	for time.Now().Before(end) && ctx.Err() == nil {
		v.signal(syscall.SIGSTOP)
		time.Sleep(stillTime)
		v.signal(syscall.SIGCONT)
		sleep(ctx, runTime)
	}
}

// disturbPeers lets a VM reach no other VM, or loses its connections to them. It is no disturbance: the VM reaches the store,
// and others reach the VM.
func (f *injector) disturbPeers(ctx context.Context, rng *rand.Rand) {
	v := f.pickVM(rng)
	mode := standin.WayMode(1 + rng.IntN(int(standin.WayRefusesNew)))
	v.callControl(ctx, http.MethodPut, PeersPath, strconv.Itoa(int(mode)))
	sleep(ctx, slowTime(rng))
	v.callControl(ctx, http.MethodPut, PeersPath, strconv.Itoa(int(standin.WayOpen)))
}
