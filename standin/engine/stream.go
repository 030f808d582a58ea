package engine

import (
	"context"
	"sync"
	"time"
)

// stream is the answer of one attempt while it is made and kept. Its pieces
// follow from the answer, so only their number is stored.
type stream struct {
	attempt string
	ref     VersionRef
	chat    bool
	answer  answer
	total   int
	limited bool
	prompt  int
	cached  int
	created int64
	cancel  context.CancelFunc

	mu        sync.Mutex
	made      int
	ended     bool
	cancelled bool
	endedAt   time.Time
	progress  chan struct{}
}

// advance records that n pieces are made.
func (s *stream) advance(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made = n
	s.wake()
}

// end closes the stream.
func (s *stream) end(now time.Time, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.cancelled, s.endedAt = true, cancelled, now
	s.wake()
}

func (s *stream) wake() {
	if s.progress != nil {
		close(s.progress)
		s.progress = nil
	}
}

// snapshot returns the progress and a channel that is closed at the next one.
func (s *stream) snapshot() (made int, ended, cancelled bool, next <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.progress == nil {
		s.progress = make(chan struct{})
	}
	return s.made, s.ended, s.cancelled, s.progress
}

// available reports whether piece i is made, without waiting.
func (s *stream) available(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return i < s.made || s.ended
}

// wait blocks until piece i is made or the stream ends, and reports whether
// the piece exists. A cancelled stream or an ended ctx is not whole.
func (s *stream) wait(ctx context.Context, i int) (exists, whole bool) {
	for {
		made, ended, cancelled, next := s.snapshot()
		if i < made {
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

// streams holds the streams that run or can still be resumed.
type streams struct {
	keep time.Duration

	mu   sync.Mutex
	byID map[string]*stream
	// ended lists finished streams, the oldest first.
	ended []*stream
}

func newStreams(keep time.Duration) *streams {
	return &streams{keep: keep, byID: make(map[string]*stream)}
}

func (s *streams) add(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[st.attempt] = st
}

func (s *streams) get(attempt string) (*stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.byID[attempt]
	return st, ok
}

// finish notes the end of a stream and forgets the ones that ended too long ago.
func (s *streams) finish(st *stream, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, st)
	for len(s.ended) > 0 && now.Sub(s.ended[0].endedAt) > s.keep {
		delete(s.byID, s.ended[0].attempt)
		s.ended[0] = nil
		s.ended = s.ended[1:]
	}
}
