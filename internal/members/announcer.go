package members

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/fetch"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/vm"
)

var namespace = errorx.NewNamespace("members")

// ErrNotAccepted reports that no seed accepted a row.
var ErrNotAccepted = namespace.NewType("not_accepted")

const (
	// writeRetryDelay is the pause after a failure to write the VM's row.
	writeRetryDelay = time.Second
	// confirmTime is how long a seed has to write the row, and rewriteSpreadPerVM spreads
	// the writes of all VMs after that.
	confirmTime        = 2 * time.Second
	rewriteSpreadPerVM = 10 * time.Millisecond
	// seedTimeout bounds each phase of a call to a seed, and maxReplyBytes its response.
	seedTimeout   = 500 * time.Millisecond
	maxReplyBytes = 1 << 10
	// idleConnTimeout is how long an unused connection to a seed is kept.
	idleConnTimeout = 90 * time.Second
)

// AnnouncerOptions configure an Announcer. All fields are required.
type AnnouncerOptions struct {
	List *List
	// Member is the row of this VM.
	Member Member
	// Seeds are the host:port addresses of the VMs that accept rows, Self is that of this
	// VM, and Collector this VM's own collector, which it uses if it is a seed.
	Seeds     []string
	Self      string
	Collector *Collector
	Writer    watch.Writer
	Clock     clockwork.Clock
	Log       *slog.Logger
}

// Announcer keeps the row of this VM in the store.
type Announcer struct {
	opts  AnnouncerOptions
	value []byte
	http  *http.Client
}

// NewAnnouncer returns an announcer. It does nothing before Run.
func NewAnnouncer(opts AnnouncerOptions) *Announcer {
	client := &http.Client{Transport: transport.Checked(&http.Transport{
		IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: transport.MaxResponseHeaderBytes,
	})}
	return &Announcer{opts: opts, http: client}
}

// Run writes the row whenever the known rows lack it, until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	value, err := json.Marshal(a.opts.Member)
	if err != nil {
		a.opts.Log.Error("can't encode this VM's row, other VMs won't find it", "error", err)
		return
	}
	a.value = value
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.opts.List.ownRowRead:
		}
		if a.opts.List.hasOwnRow(value) {
			continue
		}
		if err := a.sendToSeed(ctx); err != nil {
			a.opts.Log.Info("no seed accepted this VM's row", "error", err)
		}
		spread := time.Duration(len(a.opts.List.Others())+1) * rewriteSpreadPerVM
		if !sleep(ctx, a.opts.Clock, confirmTime+rand.N(spread)) {
			return
		}
		if !a.opts.List.hasOwnRow(value) {
			a.write(ctx)
		}
	}
}

// sendToSeed sends the row to the first seed that accepts it, in random order. A seed
// gives it to its own collector. Errors: ErrNotAccepted.
func (a *Announcer) sendToSeed(ctx context.Context) error {
	self := a.opts.List.self
	if slices.Contains(a.opts.Seeds, a.opts.Self) {
		if !a.opts.Collector.add(string(self), a.value) {
			return ErrNotAccepted.New("own queue is full")
		}
		return nil
	}
	var err error = ErrNotAccepted.New("no seeds")
	for _, i := range rand.Perm(len(a.opts.Seeds)) {
		if err = a.put(ctx, a.opts.Seeds[i], self); err == nil {
			return nil
		}
	}
	return err
}

// put sends the row to one seed.
func (a *Announcer) put(ctx context.Context, seed string, self vm.ID) error {
	target := "http://" + seed + "/members/" + url.PathEscape(string(self))
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(a.value))
	if err != nil {
		return ErrNotAccepted.Wrap(err, "create request")
	}
	resp, err := fetch.Do(a.http, req,
		fetch.Limits{HeaderTimeout: seedTimeout, IdleTimeout: seedTimeout, MaxBytes: maxReplyBytes})
	if err != nil {
		return ErrNotAccepted.Wrap(err, "seed %s", seed)
	}
	if resp.Status != http.StatusAccepted {
		return ErrNotAccepted.New("seed %s answered with status %d", seed, resp.Status)
	}
	return nil
}

// write writes the row and retries until that succeeds or ctx ends.
func (a *Announcer) write(ctx context.Context) {
	put := watch.Put{Table: a.opts.List.table, Key: Prefix + string(a.opts.List.self), Value: a.value}
	for {
		err := a.opts.Writer.Commit(ctx, watch.Change{Puts: []watch.Put{put}})
		if err == nil || ctx.Err() != nil {
			return
		}
		a.opts.Log.Warn("this VM's row not written, retrying", "error", err)
		if !sleep(ctx, a.opts.Clock, writeRetryDelay) {
			return
		}
	}
}

// sleep waits for d and returns false if ctx ends before that.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(d):
		return true
	}
}
