// Package platform is a stand-in of the platform's services over HTTP: the
// table, the object store, the list of VMs and the rating service, kept in
// memory. Faults are switched on by POST /faults. It is for development and
// tests only.
package platform

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/coord/store/memory"
	ports "github.com/poplarshore/poplarshore/platform"
	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/host"
)

// The kinds of faults. Rules with a Path of /table, /objects, /vms or /rate
// strike one service alone.
const (
	Down           fault.Kind = "down"
	Slow           fault.Kind = "slow"
	ReplyLost      fault.Kind = "reply_lost"
	RequestLost    fault.Kind = "request_lost"
	StaleList      fault.Kind = "stale_list"
	PartialRatings fault.Kind = "partial_ratings"
	SlowRatings    fault.Kind = "slow_ratings"
)

// Options configure a stand-in.
type Options struct {
	// Clock is the time source. Nil means the real clock.
	Clock clockwork.Clock
	// Seed seeds the faults.
	Seed uint64
	// Latency delays every operation of the table and the object store.
	Latency time.Duration
	// ListLag is how late a change of a VM shows in the list.
	ListLag time.Duration
}

// Server is a running stand-in.
type Server struct {
	// Table and Objects hold the data, for checks at the end of a test.
	Table   *memory.Table
	Objects *memory.Objects
	// Faults are the switches.
	Faults *fault.Set

	clock   clockwork.Clock
	options Options
	list    vmList
	mu      sync.Mutex
	rated   uint64
	host    *host.Host
}

// Start serves a stand-in on l.
func Start(l net.Listener, o Options) *Server {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Server{
		Table:   memory.NewTable(),
		Objects: memory.NewObjects(),
		Faults:  fault.NewSet(o.Seed, Down, Slow, ReplyLost, RequestLost, StaleList, PartialRatings, SlowRatings),
		clock:   o.Clock,
		options: o,
		list:    vmList{lag: o.ListLag, members: make(map[string]listed)},
	}
	s.host = host.Start(l, s.routes())
	return s
}

// URL returns the base URL of the stand-in.
func (s *Server) URL() string { return s.host.URL() }

// Close stops the stand-in.
func (s *Server) Close() error { return s.host.Close() }

// SetMember adds or replaces a VM of the list.
func (s *Server) SetMember(m ports.Member) {
	s.list.set(m, s.clock.Now())
}

// RemoveMember removes a VM from the list.
func (s *Server) RemoveMember(id string) {
	s.list.remove(id, s.clock.Now())
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/{key...}", s.guard(s.getRow))
	mux.HandleFunc("PUT /table/{key...}", s.guard(s.putRow))
	mux.HandleFunc("DELETE /table/{key...}", s.guard(s.deleteRow))
	mux.HandleFunc("GET /table", s.guard(s.scan))
	mux.HandleFunc("GET /objects/{key...}", s.guard(s.getObject))
	mux.HandleFunc("PUT /objects/{key...}", s.guard(s.putObject))
	mux.HandleFunc("DELETE /objects/{key...}", s.guard(s.deleteObject))
	mux.HandleFunc("GET /objects", s.guard(s.listObjects))
	mux.HandleFunc("GET /vms", s.guard(s.getVMs))
	mux.HandleFunc("PUT /vms/{id}", s.putVM)
	mux.HandleFunc("DELETE /vms/{id}", s.deleteVM)
	mux.HandleFunc("POST /rate", s.guard(s.rate))
	mux.HandleFunc("GET /counts", s.counts)
	s.Faults.Register(mux)
	return mux
}

// guard applies the faults that all services share. A lost request is read
// and dropped; a lost reply is cut off after the effect.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !fault.Wait(r.Context(), s.clock, s.options.Latency) {
			return
		}
		if rule, ok := s.Faults.Trigger(r, Slow); ok && !fault.Wait(r.Context(), s.clock, rule.Delay()) {
			return
		}
		if _, ok := s.Faults.Trigger(r, Down); ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, ok := s.Faults.Trigger(r, RequestLost); ok {
			host.ResetConnection(w)
			return
		}
		if _, ok := s.Faults.Trigger(r, ReplyLost); ok {
			next(discard{header: make(http.Header)}, r)
			host.ResetConnection(w)
			return
		}
		next(w, r)
	}
}

// discard is a response that nobody reads.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// Counts is the answer to GET /counts.
type Counts struct {
	TableReads   uint64 `json:"table_reads"`
	TableWrites  uint64 `json:"table_writes"`
	ObjectReads  uint64 `json:"object_reads"`
	ObjectWrites uint64 `json:"object_writes"`
	Ratings      uint64 `json:"ratings"`
}

// Counts returns how many operations each service has taken.
func (s *Server) Counts() Counts {
	table, objects := s.Table.Counts(), s.Objects.Counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{
		TableReads: table.Reads, TableWrites: table.Writes,
		ObjectReads: objects.Reads, ObjectWrites: objects.Writes,
		Ratings: s.rated,
	}
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Counts())
}
