package controld

import (
	"context"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/vm"
)

var namespace = errorx.NewNamespace("controld")

// errNoDocument reports that no configuration document is available, from the store
// or from a peer.
var errNoDocument = namespace.NewType("no_document")

// documentFollower follows the configuration while this process holds a job. Only
// holders read the configuration, so the cost doesn't grow with the number of VMs.
type documentFollower struct {
	node    *revision.Node
	oddRows *oddRows
	current atomic.Pointer[document.Index]
	// unreadable is the number of the newest revision that can't be decoded.
	unreadable atomic.Uint64
}

// followDocument returns a follower that reads the configuration from the store until
// ctx ends.
func (d *Daemon) followDocument(ctx context.Context) *documentFollower {
	follower := &documentFollower{oddRows: d.oddRows, node: revision.NewNode(revision.Options{
		ID: revision.NodeID("control/" + string(d.settings.VM.ID)), Clock: d.clock,
	})}
	syncer := revision.NewSyncer(revision.SyncerOptions{
		Node: follower.node, Table: d.table, Objects: d.objects, Prefix: d.rows.Configuration(),
		Directory: noPeers{}, Clock: d.clock,
	})
	go syncer.Run(ctx)
	return follower
}

// index returns the newest configuration that could be read and decoded, or nil
// without one.
func (f *documentFollower) index() *document.Index {
	rev, body := f.node.Current()
	index := f.current.Load()
	if rev.Number == 0 || rev.Number == f.unreadable.Load() || (index != nil && index.Number == rev.Number) {
		return index
	}
	doc, err := document.Load(body)
	if err != nil {
		f.unreadable.Store(rev.Number)
		f.oddRows.record("configuration "+string(rev.Hash), store.Version(rev.Hash), err)
		return index
	}
	index = document.NewIndex(rev.Number, doc)
	f.current.Store(index)
	return index
}

// noPeers is a directory without peers. It implements revision.Directory.
type noPeers struct{}

// Peers implements revision.Directory.
func (noPeers) Peers() []revision.NodeID { return nil }

// Peer implements revision.Directory.
func (noPeers) Peer(id revision.NodeID) revision.Peer { return unreachablePeer(vm.ID(id)) }

// unreachablePeer is a peer whose calls all fail. It implements revision.Peer.
type unreachablePeer vm.ID

// Exchange implements revision.Peer.
func (p unreachablePeer) Exchange(context.Context, revision.Digest) (revision.Digest, error) {
	return revision.Digest{}, errNoDocument.New("peer %q is unknown: a control process has no peers", string(p))
}

// Fetch implements revision.Peer.
func (p unreachablePeer) Fetch(context.Context, revision.Hash) ([]byte, error) {
	return nil, errNoDocument.New("peer %q is unknown: a control process has no peers", string(p))
}
