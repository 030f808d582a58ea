package listen

import (
	"context"
	"time"
)

// Finish ends a server whose callers keep connecting, or keep connections, so that Shutdown does not return. No
// more connections are accepted, and those without a request are closed; requests on others that are open are
// answered until ctx ends. Then all connections are closed. Errors: that of ctx, if requests were aborted.
func (s *Server) Finish(ctx context.Context) error {
	s.stopping.Store(true)
	s.closeListener()
	err := awaitEnd(ctx, s.acceptor.set.all(), func() time.Duration { return maxIdle })
	if closeErr := s.Close(); err == nil {
		err = closeErr
	}
	return err
}
