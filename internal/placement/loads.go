package placement

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/entry"
	"github.com/poplarshore/poplarshore/loadstate"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

const (
	// maxPullsPerSecond bounds the load reports read by one VM.
	maxPullsPerSecond = 20
	// pullWorkers bounds the reports read at once.
	pullWorkers = 8
)

// Puller reads the load reports of the engines in sight.
type Puller struct {
	Placement *Placement
	Engines   *engineclient.Client
	Addresses entry.Addresses
	// Index returns the configuration in force, or nil.
	Index func() *document.Index
	// Period is the least time between two reads of one engine.
	Period time.Duration
}

// Run reads reports in turn until ctx ends. The rate is bounded, so the cost
// stays flat however many engines are in sight; reports then get older.
func (p *Puller) Run(ctx context.Context) {
	work := make(chan upstream.ID)
	for range pullWorkers {
		go p.worker(ctx, work)
	}
	for {
		engines := p.engines()
		pause := max(p.Period/time.Duration(max(len(engines), 1)), time.Second/maxPullsPerSecond)
		if len(engines) == 0 {
			engines = append(engines, "")
		}
		for _, id := range engines {
			if !p.offer(ctx, work, id, pause) {
				return
			}
		}
	}
}

// offer hands one engine to a worker and waits for the pause.
func (p *Puller) offer(ctx context.Context, work chan<- upstream.ID, id upstream.ID, pause time.Duration) bool {
	if id != "" {
		select {
		case <-ctx.Done():
			return false
		case work <- id:
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-p.Placement.clock.After(pause):
		return true
	}
}

func (p *Puller) worker(ctx context.Context, work <-chan upstream.ID) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-work:
			p.Pull(ctx, id)
		}
	}
}

// Pull reads one engine's report. A report that can't be read leaves the last
// one in place, which grows old.
func (p *Puller) Pull(ctx context.Context, id upstream.ID) {
	address, ok := p.Addresses.Address(id)
	if !ok {
		return
	}
	load, err := p.Engines.Load(ctx, address)
	if err != nil {
		return
	}
	now := p.Placement.clock.Now()
	age := max(now.Sub(time.UnixMilli(load.AtUnixMS)), 0)
	report := loadstate.Report{
		Load: route.Load{
			Running: load.Running, Waiting: load.Waiting, Capacity: load.Capacity,
			KVUsed: load.KVUsed, Draining: load.Draining,
		},
		Taken: now.Add(-age), Loaded: loaded(load.Versions),
	}
	_, _ = p.Placement.state.ObserveLoad(id, report)
	if !load.Draining {
		p.Placement.hooks.Staying(id, report.Taken)
		return
	}
	p.Placement.hooks.Leaving(id)
	_ = p.Placement.state.SetLeaving(id, true)
}

func loaded(versions []engineclient.VersionLoad) []model.Ref {
	var refs []model.Ref
	for _, v := range versions {
		if v.Loaded {
			refs = append(refs, model.Ref{Model: model.Name(v.Model), Version: model.VersionID(v.Version)})
		}
	}
	return refs
}

// engines returns the engines in sight.
func (p *Puller) engines() []upstream.ID {
	x := p.Index()
	if x == nil {
		return nil
	}
	var ids []upstream.ID
	for _, u := range x.Doc.Upstreams {
		if u.Kind == upstream.Engine && p.Placement.Sees(u.ID) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}
