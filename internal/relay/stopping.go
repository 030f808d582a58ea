package relay

// abortEnd is what became of a request that the end of a planned stop's grace ended.
type abortEnd string

const (
	// abortAnswered: the caller was sent a status.
	abortAnswered abortEnd = "answered"
	// abortCut: an answer that had begun was broken off.
	abortCut abortEnd = "cut"
	// abortUnsent: the connection ended before a status was sent.
	abortUnsent abortEnd = "unsent"
)

// recordAborted records what became of the exchange if running requests are being aborted.
func (x *exchange) recordAborted(end abortEnd) {
	if x.server.Aborting() {
		x.abortEnd = end
	}
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }
