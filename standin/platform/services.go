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

// The scores of the rating service, from 0 to 1.
const (
	goodScore = 0.95
	poorScore = 0.15
)

// PoorAnswerPrefix is the first word of an answer of poor quality by a stand-in engine. The
// rating service gives a low score to answers that start with it.
const PoorAnswerPrefix = "flawed"

// vmRecord is a VM with its last change. The list shows the previous state until the change
// is visible.
type vmRecord struct {
	current   ports.Member
	isListed  bool
	previous  ports.Member
	wasListed bool
	changedAt time.Time
}

// vmList is a list of VMs that shows each change with a delay. It is safe for concurrent use.
type vmList struct {
	// lag is the delay until a change is visible.
	lag time.Duration

	mu      sync.Mutex
	members map[string]vmRecord
	// lastListing is the result of the last call of listing.
	lastListing []ports.Member
}

func (l *vmList) set(m ports.Member, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.members[m.ID]
	l.members[m.ID] = vmRecord{current: m, isListed: true, previous: old.current, wasListed: old.isListed, changedAt: now}
}

func (l *vmList) remove(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.members[id]
	l.members[id] = vmRecord{previous: old.current, wasListed: old.isListed, changedAt: now}
}

// listing returns the VMs in order of ID, without the changes of the last lag. If stale is
// set, it returns the list that it returned last, if any.
func (l *vmList) listing(now time.Time, stale bool) []ports.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stale && l.lastListing != nil {
		return l.lastListing
	}
	members := []ports.Member{}
	for _, m := range l.members {
		member, present := m.current, m.isListed
		if now.Sub(m.changedAt) < l.lag {
			member, present = m.previous, m.wasListed
		}
		if present {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b ports.Member) int { return strings.Compare(a.ID, b.ID) })
	l.lastListing = members
	return members
}

func (s *Server) getVMs(w http.ResponseWriter, r *http.Request) {
	_, stale := s.Faults.Trigger(r, StaleList)
	host.WriteJSON(w, http.StatusOK, httplist.Listing{VMs: s.vms.listing(s.clock.Now(), stale)})
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

func (s *Server) postRating(w http.ResponseWriter, r *http.Request) {
	var request ports.RatingRequest
	if !host.ReadJSON(w, r, &request) {
		return
	}
	if rule, ok := s.Faults.Trigger(r, SlowRatings); ok && !fault.Wait(r.Context(), s.clock, rule.Delay()) {
		return
	}
	if _, ok := s.Faults.Trigger(r, RatingMissing); ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.mu.Lock()
	s.ratings++
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, ports.Rating{Score: score(request.Answer)})
}

// score returns the rating of an answer.
func score(answer string) float64 {
	if strings.HasPrefix(answer, PoorAnswerPrefix) {
		return poorScore
	}
	return goodScore
}
