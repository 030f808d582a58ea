package blame

import (
	"fmt"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/quarantine"
)

// culprit is what crashes upstreams.
type culprit struct {
	key     quarantine.Key
	part    string
	path    string
	known   int
	crashes []time.Duration
	late    int
}

// request is one exchange of a client.
type request struct {
	vm      int
	keys    []quarantine.Key
	culprit *culprit
	sends   int
	lost    int
	retries int
	plain   bool
}

// arrive draws the requests of one tick.
func (s *simulation) arrive() {
	if s.rand.Float64() < s.Rate*tick.Seconds() {
		s.sound++
		s.send(s.newRequest(nil))
	}
	for _, c := range s.culprits {
		if s.now >= culpritsFrom && s.rand.Float64() < s.CulpritRate*tick.Seconds() {
			s.send(s.newRequest(c))
		}
	}
}

// newRequest draws a request: two parts that many share, one that few share, its own path,
// and what makes it crash upstreams.
func (s *simulation) newRequest(c *culprit) *request {
	s.ids++
	r := &request{vm: s.pickVM(), culprit: c, plain: s.Plain}
	path := fmt.Sprint("/", s.ids)
	if c != nil && c.path != "" {
		path = c.path
	}
	if !s.Plain {
		parts := []string{fmt.Sprint("route ", s.rand.IntN(3)), fmt.Sprint("caller ", s.rand.IntN(10)), fmt.Sprint("subject ", s.rand.IntN(60))}
		if c != nil && c.path != "" {
			parts = []string{"route 0", "caller 0", "subject 0"}
		}
		if c != nil && c.part != "" {
			parts = slices.Insert(parts, s.rand.IntN(len(parts)+1), c.part)
		}
		for _, p := range parts {
			r.keys = append(r.keys, s.digester.Part(p))
		}
	}
	r.keys = append(r.keys, s.requestKey(path))
	return r
}

// pickVM draws a VM; the load is uneven.
func (s *simulation) pickVM() int {
	u := s.rand.Float64()
	return int(u * u * float64(s.VMs))
}

// send makes the next attempt of a request, unless it is kept out or nothing is up.
func (s *simulation) send(r *request) {
	if s.rule != None {
		if _, excluded := s.guards[r.vm].Check(r.keys); excluded {
			if r.culprit == nil {
				s.keptOut++
			}
			return
		}
	}
	var up []*engine
	for _, e := range s.engines {
		if e.upAt <= s.now {
			up = append(up, e)
		}
	}
	if len(up) == 0 || r.sends >= maxSends {
		return
	}
	r.sends++
	if c := r.culprit; c != nil && s.isInTouch(r.vm) && len(c.crashes) >= c.known && s.now > c.crashes[c.known-1]+contact {
		c.late++
	}
	e := up[s.rand.IntN(len(up))]
	a := &run{request: r, attempt: s.guards[r.vm].Begin(e.of, r.keys), weak: !s.Plain && s.rand.Float64() < weakShare && r.sends == 1}
	if s.Plain {
		a.attempt.AssumeRunning()
	}
	a.beginAt = s.now + time.Duration(s.rand.ExpFloat64()*float64(meanWait))
	a.endAt = a.beginAt + time.Duration(s.rand.ExpFloat64()*float64(meanRun))
	e.runs = append(e.runs, a)
}

// isInTouch reports whether a VM ran and was not cut off for long enough to be counted.
func (s *simulation) isInTouch(vm int) bool {
	return s.now >= s.cutUntil[vm]+contact && (s.startedAt[vm] == 0 || s.now >= s.startedAt[vm]+contact)
}

// lose ends a run with its connection, while its engine goes on.
func (s *simulation) lose(e *engine, r *run) {
	s.remove(e, r)
	s.retry(r)
}

// retry sends the request of a run that was lost again, or lets its client do so.
func (s *simulation) retry(r *run) {
	r.attempt.End(quarantines.Lost)
	r.lost++
	if r.lost < maxLost {
		s.after(tick, func() { s.send(r.request) })
		return
	}
	if r.retries == 0 {
		repeat := &request{vm: s.pickVM(), keys: r.keys, culprit: r.culprit, retries: 1, plain: r.plain}
		s.after(clientRetryDelay, func() { s.send(repeat) })
	}
}
