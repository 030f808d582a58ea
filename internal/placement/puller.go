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
	// maxPullsPerSecond is the largest rate at which one VM reads load reports.
	maxPullsPerSecond = 20
	// pullWorkers is the largest number of reports read concurrently.
	pullWorkers = 8
)

// Puller polls the engines that this VM uses for their load reports. All fields are
// required.
type Puller struct {
	Placement *Placement
	Engines   *engineclient.Client
	Addresses entry.Addresses
	// Index returns the configuration in force, or nil if there is none yet.
	Index func() *document.Index
	// Period is the shortest time between two reads of one engine. It is longer when
	// maxPullsPerSecond does not suffice for all engines.
	Period time.Duration
}

// Run reads the engines' reports in turn until ctx is done. The total rate is
// bounded by maxPullsPerSecond, so that the cost does not grow with the number of
// engines; with many engines the reports are older instead.
func (p *Puller) Run(ctx context.Context) {
	work := make(chan upstream.ID)
	for range pullWorkers {
		go p.worker(ctx, work)
	}
	for {
		ids := p.subsetEngines()
		interval := max(p.Period/time.Duration(max(len(ids), 1)), time.Second/maxPullsPerSecond)
		if len(ids) == 0 {
			ids = append(ids, "")
		}
		for _, id := range ids {
			if !p.dispatch(ctx, work, id, interval) {
				return
			}
		}
	}
}

// dispatch passes an engine to a worker and then waits for the interval. With an
// empty ID it only waits. It returns false when ctx is done.
func (p *Puller) dispatch(ctx context.Context, work chan<- upstream.ID, id upstream.ID, interval time.Duration) bool {
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
	case <-p.Placement.clock.After(interval):
		return true
	}
}

// worker reads the reports of the engines received from work until ctx is done.
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

// Pull reads the load report of one engine and installs it. If the report can't be
// read, the last one stays in place, with increasing age.
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
		Taken: now.Add(-age), Loaded: loadedVersions(load.Versions),
	}
	_, _ = p.Placement.state.ObserveLoad(id, report)
	if !load.Draining {
		p.Placement.hooks.Staying(id, report.Taken)
		return
	}
	p.Placement.hooks.Leaving(id)
	_ = p.Placement.state.SetLeaving(id, true)
}

// loadedVersions returns the versions that are in the engine's memory; nil if there
// are none.
func loadedVersions(versions []engineclient.VersionLoad) []model.Ref {
	var refs []model.Ref
	for _, v := range versions {
		if v.Loaded {
			refs = append(refs, model.Ref{Model: model.Name(v.Model), Version: model.VersionID(v.Version)})
		}
	}
	return refs
}

// subsetEngines returns the engines that this VM uses.
func (p *Puller) subsetEngines() []upstream.ID {
	index := p.Index()
	if index == nil {
		return nil
	}
	var ids []upstream.ID
	for _, u := range index.Doc.Upstreams {
		if u.Kind == upstream.Engine && p.Placement.InSubset(u.ID) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}
