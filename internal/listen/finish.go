package listen

import "context"

// Finish ends a server whose callers keep connecting, so that Shutdown does not return. No more
// connections are accepted; requests on those that are open are answered until ctx ends. Then all
// connections are closed. Errors: that of ctx, if requests were aborted.
func (s *Server) Finish(ctx context.Context) error {
	s.stopping.Store(true)
	s.closeListener()
	err := awaitEnd(ctx, s.acceptor.set.all())
	if closeErr := s.Close(); err == nil {
		err = closeErr
	}
	return err
}
