package listen

// Connections returns the number of open connections, and how many of them wait for a request.
func (s *Server) Connections() (open, waiting int) {
	conns := s.acceptor.set.all()
	for _, c := range conns {
		if c.isWaiting() {
			waiting++
		}
	}
	return len(conns), waiting
}

// isWaiting reports whether no request has begun on the connection since the last one.
func (c *conn) isWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}
