// Package platform is a stand-in for the platform's services with an HTTP API: the table
// (/table), the object store (/objects), the VM list (/vms) and the rating service (/rate).
// All data is in memory. Faults can be injected with POST /faults or Server.Faults. It is for
// development and tests only.
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

// The kinds of faults that the platform can inject. A rule with a Path of /table, /objects,
// /vms or /rate affects only that service.
const (
	// Unavailable responds with status 503.
	Unavailable fault.Kind = "down"
	// Slow delays the request by Rule.DelayMs before it is applied.
	Slow fault.Kind = "slow"
	// ReplyLost applies the request and resets the connection without a response.
	ReplyLost fault.Kind = "reply_lost"
	// RequestLost resets the connection without applying the request.
	RequestLost fault.Kind = "request_lost"
	// StaleList makes GET /vms return the list that it returned last.
	StaleList fault.Kind = "stale_list"
	// RatingMissing makes POST /rate respond with status 204, without a rating.
	RatingMissing fault.Kind = "partial_ratings"
	// SlowRatings delays POST /rate by Rule.DelayMs.
	SlowRatings fault.Kind = "slow_ratings"
)

// Options configure a stand-in.
type Options struct {
	// Clock is the time source. Default: the real clock.
	Clock clockwork.Clock
	// Seed seeds the draws of faults with a probability.
	Seed uint64
	// Latency is the delay of each request to the table, the object store, the rating
	// service and GET /vms. Default: 0.
	Latency time.Duration
	// ListLag is the delay until a change of a VM is visible in the list. Default: 0.
	ListLag time.Duration
}

// Server is a running stand-in. It is safe for concurrent use.
type Server struct {
	// Table and Objects hold the data. Tests can read them without latency and faults.
	Table   *memory.Table
	Objects *memory.Objects
	// Faults holds the rules for injected faults.
	Faults *fault.Set

	clock   clockwork.Clock
	options Options
	vms     vmList
	mu      sync.Mutex
	// ratings is the number of ratings returned.
	ratings uint64
	host    *host.Server
}

// Start serves a stand-in on l until Close.
func Start(l net.Listener, o Options) *Server {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Server{
		Table:   memory.NewTable(),
		Objects: memory.NewObjects(),
		Faults:  fault.NewSet(o.Seed, Unavailable, Slow, ReplyLost, RequestLost, StaleList, RatingMissing, SlowRatings),
		clock:   o.Clock,
		options: o,
		vms:     vmList{lag: o.ListLag, members: make(map[string]vmRecord)},
	}
	s.host = host.Start(l, s.routes())
	return s
}

// URL returns the base URL of the stand-in.
func (s *Server) URL() string { return s.host.URL() }

// Close closes all connections and stops listening.
func (s *Server) Close() error { return s.host.Close() }

// SetMember adds a VM to the list or replaces it. The change is visible after
// Options.ListLag.
func (s *Server) SetMember(m ports.Member) {
	s.vms.set(m, s.clock.Now())
}

// RemoveMember removes a VM from the list. The change is visible after Options.ListLag.
func (s *Server) RemoveMember(id string) {
	s.vms.remove(id, s.clock.Now())
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/{key...}", s.withFaults(s.getRow))
	mux.HandleFunc("PUT /table/{key...}", s.withFaults(s.putRow))
	mux.HandleFunc("DELETE /table/{key...}", s.withFaults(s.deleteRow))
	mux.HandleFunc("GET /table", s.withFaults(s.scanRows))
	mux.HandleFunc("GET /objects/{key...}", s.withFaults(s.getObject))
	mux.HandleFunc("PUT /objects/{key...}", s.withFaults(s.putObject))
	mux.HandleFunc("DELETE /objects/{key...}", s.withFaults(s.deleteObject))
	mux.HandleFunc("GET /objects", s.withFaults(s.listObjects))
	mux.HandleFunc("GET /vms", s.withFaults(s.getVMs))
	mux.HandleFunc("PUT /vms/{id}", s.putVM)
	mux.HandleFunc("DELETE /vms/{id}", s.deleteVM)
	mux.HandleFunc("POST /rate", s.withFaults(s.postRating))
	mux.HandleFunc("GET /counts", s.getCounts)
	s.Faults.Register(mux)
	return mux
}

// withFaults returns a handler that adds the latency and the faults that all services have
// in common.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !fault.Wait(r.Context(), s.clock, s.options.Latency) {
			return
		}
		if rule, ok := s.Faults.Trigger(r, Slow); ok && !fault.Wait(r.Context(), s.clock, rule.Delay()) {
			return
		}
		if _, ok := s.Faults.Trigger(r, Unavailable); ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, ok := s.Faults.Trigger(r, RequestLost); ok {
			host.ResetConnection(w)
			return
		}
		if _, ok := s.Faults.Trigger(r, ReplyLost); ok {
			next(discardWriter{header: make(http.Header)}, r)
			host.ResetConnection(w)
			return
		}
		next(w, r)
	}
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

// Counts is the response to GET /counts: operations since the start.
type Counts struct {
	TableReads   uint64 `json:"table_reads"`
	TableWrites  uint64 `json:"table_writes"`
	ObjectReads  uint64 `json:"object_reads"`
	ObjectWrites uint64 `json:"object_writes"`
	// Ratings is the number of ratings returned.
	Ratings uint64 `json:"ratings"`
}

// Counts returns how many operations each service has performed.
func (s *Server) Counts() Counts {
	table, objects := s.Table.Counts(), s.Objects.Counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{
		TableReads: table.Reads, TableWrites: table.Writes,
		ObjectReads: objects.Reads, ObjectWrites: objects.Writes,
		Ratings: s.ratings,
	}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Counts())
}
