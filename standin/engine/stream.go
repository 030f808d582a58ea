package engine

import (
	"context"
	"sync"
	"time"
)

// stream is the state of one attempt's answer while it is generated and while it can be
// resumed. The pieces can be recomputed from the answer, so only their number is stored.
type stream struct {
	attemptID   string
	version     VersionRef
	chat        bool
	answer      answer
	totalTokens int
	// lengthLimited reports whether the request's limit cut the answer short.
	lengthLimited bool
	promptTokens  int
	cachedTokens  int
	// createdUnix is the creation time in seconds since the Unix epoch.
	createdUnix int64
	// cancel stops the run.
	cancel context.CancelFunc

	mu sync.Mutex
	// generated is the number of generated pieces, at most totalTokens.
	generated int
	ended     bool
	cancelled bool
	endedAt   time.Time
	// progressed is closed at the next progress; nil while nobody waits.
	progressed chan struct{}
}

// advance records that n pieces have been generated.
func (s *stream) advance(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generated = n
	s.notify()
}

// end records that no more pieces will be generated.
func (s *stream) end(now time.Time, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.cancelled, s.endedAt = true, cancelled, now
	s.notify()
}

// notify unblocks the callers of wait. The caller holds mu.
func (s *stream) notify() {
	if s.progressed != nil {
		close(s.progressed)
		s.progressed = nil
	}
}

// snapshot returns the progress, and a channel that is closed at the next progress.
func (s *stream) snapshot() (generated int, ended, cancelled bool, next <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.progressed == nil {
		s.progressed = make(chan struct{})
	}
	return s.generated, s.ended, s.cancelled, s.progressed
}

// isReady reports whether wait would return for piece i without blocking.
func (s *stream) isReady(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return i < s.generated || s.ended
}

// wait blocks until piece i has been generated, the stream has ended or ctx is done. exists
// reports whether the piece has been generated. complete is false if the stream was
// cancelled before the piece, or if ctx is done.
func (s *stream) wait(ctx context.Context, i int) (exists, complete bool) {
	for {
		generated, ended, cancelled, next := s.snapshot()
		if i < generated {
			return true, true
		}
		if ended {
			return false, !cancelled
		}
		select {
		case <-next:
		case <-ctx.Done():
			return false, false
		}
	}
}

// streams holds the streams that are running or can still be resumed. It is safe for
// concurrent use.
type streams struct {
	// retention is how long, at least, an ended stream can be resumed.
	retention time.Duration

	mu   sync.Mutex
	byID map[string]*stream
	// ended lists the streams that have ended, the oldest first.
	ended []*stream
}

func newStreams(retention time.Duration) *streams {
	return &streams{retention: retention, byID: make(map[string]*stream)}
}

func (s *streams) add(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[st.attemptID] = st
}

func (s *streams) get(attemptID string) (*stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.byID[attemptID]
	return st, ok
}

// finish records the end of a stream and removes the streams whose retention has passed.
func (s *streams) finish(st *stream, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, st)
	for len(s.ended) > 0 && now.Sub(s.ended[0].endedAt) > s.retention {
		delete(s.byID, s.ended[0].attemptID)
		s.ended[0] = nil
		s.ended = s.ended[1:]
	}
}
