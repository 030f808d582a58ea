package platform

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	ports "github.com/poplarshore/poplarshore/platform"
	"github.com/poplarshore/poplarshore/platform/httplist"
	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/host"
)

const (
	goodScore = 0.95
	poorScore = 0.15
)

// PoorMark is the word by which stand-in engines mark an answer of poor
// quality; the rating service looks for it.
const PoorMark = "flawed"

// listed is a VM with its last change: before the change shows, the list gives
// the state that it had before.
type listed struct {
	now     ports.Member
	present bool
	before  ports.Member
	existed bool
	changed time.Time
}

type vmList struct {
	lag time.Duration

	mu      sync.Mutex
	members map[string]listed
	shown   []ports.Member
}

func (l *vmList) set(m ports.Member, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.members[m.ID]
	l.members[m.ID] = listed{now: m, present: true, before: old.now, existed: old.present, changed: now}
}

func (l *vmList) remove(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.members[id]
	l.members[id] = listed{before: old.now, existed: old.present, changed: now}
}

// view returns the list as of lag ago, or the one shown last when stale.
func (l *vmList) view(now time.Time, stale bool) []ports.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stale && l.shown != nil {
		return l.shown
	}
	shown := []ports.Member{}
	for _, m := range l.members {
		member, present := m.now, m.present
		if now.Sub(m.changed) < l.lag {
			member, present = m.before, m.existed
		}
		if present {
			shown = append(shown, member)
		}
	}
	slices.SortFunc(shown, func(a, b ports.Member) int { return strings.Compare(a.ID, b.ID) })
	l.shown = shown
	return shown
}

func (s *Server) getVMs(w http.ResponseWriter, r *http.Request) {
	_, stale := s.Faults.Trigger(r, StaleList)
	host.WriteJSON(w, http.StatusOK, httplist.Listing{VMs: s.list.view(s.clock.Now(), stale)})
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var m ports.Member
	if !host.ReadJSON(w, r, &m) {
		return
	}
	m.ID = r.PathValue("id")
	s.SetMember(m)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteVM(w http.ResponseWriter, r *http.Request) {
	s.RemoveMember(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) rate(w http.ResponseWriter, r *http.Request) {
	var request ports.RatingRequest
	if !host.ReadJSON(w, r, &request) {
		return
	}
	if rule, ok := s.Faults.Trigger(r, SlowRatings); ok && !fault.Wait(r.Context(), s.clock, rule.Delay()) {
		return
	}
	if _, ok := s.Faults.Trigger(r, PartialRatings); ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.mu.Lock()
	s.rated++
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, ports.Rating{Score: score(request.Answer)})
}

func score(answer string) float64 {
	if strings.HasPrefix(answer, PoorMark) {
		return poorScore
	}
	return goodScore
}
