package loadstate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poplarshore/poplarshore/loadstate"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// fleet returns a state with one group of n engines for each version, and the keys
// of the groups.
func fleet(n, versions int, breakers loadstate.Breakers) (*loadstate.State, []loadstate.Key) {
	p := placement()
	p.Groups = map[loadstate.Key][]*upstream.Upstream{}
	var keys []loadstate.Key
	for v := range versions {
		k := loadstate.Key{Ref: model.Ref{Model: "strong", Version: model.VersionID(fmt.Sprint(v))}}
		for i := range n {
			p.Groups[k] = append(p.Groups[k], &upstream.Upstream{ID: upstream.ID(fmt.Sprintf("v%de%04d", v, i)), Domain: "cuyo", Capacity: 16})
		}
		keys = append(keys, k)
	}
	s := loadstate.New(loadstate.Options{Breakers: breakers})
	s.Reconcile(p)
	return s, keys
}

// BenchmarkDecision reports the 99th percentile of a decision (view, hints, home,
// sample, filters with circuit breakers, scores, pick). ns/op also includes the
// updates of the state after each decision.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ engines, versions int }{{10, 1}, {50, 1}, {100, 1}, {500, 1}, {500, 26}, {2000, 1}} {
		b.Run(fmt.Sprintf("engines=%d/versions=%d", size.engines, size.versions), func(b *testing.B) {
			breakers := retry.NewBreakers(retry.DefaultBreakerOptions())
			s, keys := fleet(size.engines, size.versions, breakers)
			prefixIndex := loadstate.NewPrefixIndex(loadstate.DefaultPrefixIndexOptions())
			policy := route.NewPolicy(route.DefaultOptions())
			rng := rand.New(rand.NewPCG(1, 1))
			h := hdrhistogram.New(1, int64(time.Second), 3)
			b.ReportAllocs()
			for b.Loop() {
				k := keys[rng.IntN(len(keys))]
				prefixes := []uint64{rng.Uint64N(100), rng.Uint64N(1000), rng.Uint64N(10000)}
				draw, begin := rng.Uint64(), time.Now()
				d, ok := decide(s, k, prefixIndex, policy, prefixes, draw)
				_ = h.RecordValue(int64(time.Since(begin)))
				if !ok {
					b.Fatal("no candidate")
				}
				call, _ := s.Begin(d.Upstream.ID, now)
				prefixIndex.Record(prefixes, d.Upstream.ID, now)
				call.End(now, true)
			}
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
		})
	}
}

// decide selects an upstream for a request with the given prompt prefixes.
func decide(s *loadstate.State, k loadstate.Key, l *loadstate.PrefixIndex, p *route.Policy, prefixes []uint64, draw uint64) (route.Decision, bool) {
	var hints [route.MaxHints]route.Hint
	refs := [1]model.Ref{k.Ref}
	view, _ := s.View(k, now)
	req := route.Request{
		Refs: refs[:], PromptTokens: 1000, PromptBlocks: 3, Draw: draw,
		Hints: l.AppendHints(hints[:0], prefixes, now), Home: view.Home(prefixes[0]),
	}
	return p.Select(&req, view)
}
