package revision

// Event is a kind of event that an Observer may count. The values are stable and
// suit as metric labels.
type Event string

const (
	// EventAccepted is a proposal that was accepted, now or by an earlier call
	// with the same operation id.
	EventAccepted Event = "accepted"
	// EventConflict is a proposal that failed with ErrConflict.
	EventConflict Event = "conflict"
	// EventUnknown is a proposal that failed with ErrUnknown.
	EventUnknown Event = "unknown"
	// EventUnavailable is a proposal that failed with any other error.
	EventUnavailable Event = "unavailable"
	// EventProposeRetry is a retry of a store operation by a Publisher.
	EventProposeRetry Event = "propose_retry"
	// EventInstalled is an installation of a revision on a Node.
	EventInstalled Event = "installed"
	// EventInstallRefused is a revision that was not installed, because its body
	// has another hash or Options.Apply failed.
	EventInstallRefused Event = "install_refused"
	// EventPollFailed is a failed read of the head row by a Syncer.
	EventPollFailed Event = "poll_failed"
	// EventExchangeFailed is a failed exchange of digests with a peer.
	EventExchangeFailed Event = "exchange_failed"
	// EventFetchFailed is a body that neither the peer nor the object store
	// provided.
	EventFetchFailed Event = "fetch_failed"
	// EventAnnounceSkipped is an announcement that ended early because there
	// are no peers.
	EventAnnounceSkipped Event = "announce_skipped"
	// EventFollowSkipped is a newer revision named by a peer that is not fetched
	// from that peer, because another fetch is queued already.
	EventFollowSkipped Event = "follow_skipped"
)

// Observer receives events, for example to count them.
type Observer interface {
	// Observe is called for each event. Implementations must be safe for
	// concurrent use. They must not block and must not call methods of the Node,
	// because Observe may be called while the Node holds its lock.
	Observe(Event)
}

// NopObserver is an Observer that ignores every event. It is the default.
type NopObserver struct{}

// Observe implements Observer.
func (NopObserver) Observe(Event) {}
