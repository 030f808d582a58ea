package pace

import (
	"math"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/model"
)

const (
	// usualMinStep is the smallest relative change of the usual gap by one sample, and
	// usualFirstStep that by the first one; the n-th sample changes it by usualFirstStep/n.
	usualMinStep   = 0.01
	usualFirstStep = 0.8
	// usualMinSamples is the number of samples from which the usual gap counts as known.
	usualMinSamples = 6
	// minGap is the shortest gap that is told apart. Events that arrive together have none.
	minGap = 100 * time.Microsecond
)

// Usual is the usual time between two events of a model on an idle upstream. It tracks the
// median, so that a minority of slow upstreams, or single long gaps, don't change it. It is
// safe for concurrent use.
type Usual struct {
	mu      sync.Mutex
	logGap  float64
	samples int
}

// Observe records a gap between two events, divided by what is known of the load and the
// speed of its upstream.
func (u *Usual) Observe(gap time.Duration) {
	sample := math.Log(max(gap, minGap).Seconds())
	u.mu.Lock()
	defer u.mu.Unlock()
	u.samples++
	if u.samples == 1 {
		u.logGap = sample
		return
	}
	step := max(usualFirstStep/float64(u.samples), usualMinStep)
	u.logGap += min(max(sample-u.logGap, -step), step)
}

// Gap returns the usual gap, and false while too few samples are known.
func (u *Usual) Gap() (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.samples < usualMinSamples {
		return 0, false
	}
	return time.Duration(math.Exp(u.logGap) * float64(time.Second)), true
}

// Models holds the usual gaps of the models of a service. It is safe for concurrent use.
type Models struct {
	mu      sync.RWMutex
	byModel map[model.Name]*Usual
}

// maxModels bounds the number of models whose gaps are kept. Callers may name any model.
const maxModels = 64

// Of returns the usual gap of a model, or nil if too many models are known already.
func (m *Models) Of(name model.Name) *Usual {
	m.mu.RLock()
	u := m.byModel[name]
	m.mu.RUnlock()
	if u != nil {
		return u
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if u = m.byModel[name]; u != nil || len(m.byModel) >= maxModels {
		return u
	}
	if m.byModel == nil {
		m.byModel = make(map[model.Name]*Usual)
	}
	u = &Usual{}
	m.byModel[name] = u
	return u
}
