package controld

import (
	"context"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/vm"
)

var namespace = errorx.NewNamespace("controld")

var errNoDocument = namespace.NewType("no_document")

// documents follows the configuration while a job is held. Only holders read
// it, so its cost does not grow with the number of VMs.
type documents struct {
	node    *revision.Node
	current atomic.Pointer[document.Index]
}

// follow reads the configuration until ctx ends.
func (d *Daemon) follow(ctx context.Context) *documents {
	docs := &documents{node: revision.NewNode(revision.Options{
		ID: revision.NodeID("control/" + string(d.settings.VM.ID)), Clock: d.clock,
	})}
	spreader := revision.NewSyncer(revision.SyncerOptions{
		Node: docs.node, Table: d.table, Objects: d.objects, Prefix: d.rows.Configuration(),
		Directory: nobody{}, Clock: d.clock,
	})
	go spreader.Run(ctx)
	return docs
}

// index returns the newest configuration read, or nil.
func (d *documents) index() *document.Index {
	rev, body := d.node.Current()
	x := d.current.Load()
	if rev.Number == 0 || (x != nil && x.Number == rev.Number) {
		return x
	}
	doc, err := document.Load(body)
	if err != nil {
		return x
	}
	x = document.NewIndex(rev.Number, doc)
	d.current.Store(x)
	return x
}

// nobody is a directory without peers.
type nobody struct{}

// Peers implements revision.Directory.
func (nobody) Peers() []revision.NodeID { return nil }

// Peer implements revision.Directory.
func (nobody) Peer(id revision.NodeID) revision.Peer { return absent(vm.ID(id)) }

// absent is a peer that can't be reached.
type absent vm.ID

// Exchange implements revision.Peer.
func (a absent) Exchange(context.Context, revision.Digest) (revision.Digest, error) {
	return revision.Digest{}, errNoDocument.New("no peer %q", string(a))
}

// Fetch implements revision.Peer.
func (a absent) Fetch(context.Context, revision.Hash) ([]byte, error) {
	return nil, errNoDocument.New("no peer %q", string(a))
}
