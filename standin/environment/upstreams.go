package environment

import (
	"net"
	"time"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/oldrouter"
	standinplatform "github.com/poplarshore/poplarshore/standin/platform"
	"github.com/poplarshore/poplarshore/standin/service"
	"github.com/poplarshore/poplarshore/upstream"
)

// startStandIns starts the platform, then the upstreams, last the older router, which needs the others' addresses.
func (e *Environment) startStandIns() error {
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	e.Platform = standinplatform.Start(listener, e.opts.Platform)
	for _, u := range e.doc.Upstreams {
		if u.Kind == upstream.OldRouter {
			continue
		}
		if err := e.startUpstream(u); err != nil {
			return err
		}
	}
	return e.startOldRouter()
}

// startUpstream starts the stand-in of a plain service, or of an engine. An engine queues up to four times its
// capacity in waiting requests.
func (e *Environment) startUpstream(u upstream.Upstream) error {
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	if u.Kind == upstream.Service {
		e.Services[u.ID] = service.Start(listener, service.Options{})
		e.Addresses[u.ID] = e.Services[u.ID].URL()
		return nil
	}
	options := engine.Options{
		Fencing: u.Fencing, Capacity: max(u.Capacity, 1), MaxWaiting: 4 * max(u.Capacity, 1),
		PrefixBlocks: 4096, MinTokens: 8, MaxTokens: 32, StreamRetention: 30 * time.Second,
	}
	for _, ref := range u.Versions {
		options.Versions = append(options.Versions, engine.VersionRef{Model: string(ref.Model), Version: string(ref.Version)})
	}
	if e.opts.ConfigureEngine != nil {
		e.opts.ConfigureEngine(u, &options)
	}
	e.Engines[u.ID] = engine.Start(listener, options)
	e.Addresses[u.ID] = e.Engines[u.ID].URL()
	return nil
}

// startOldRouter starts the stand-in of the older router, if the document declares one. It serves the current
// versions of the first document and all plain services.
func (e *Environment) startOldRouter() error {
	id := e.doc.Takeover.OldRouter
	if id == "" {
		return nil
	}
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	options := oldrouter.Options{
		Models: make(map[string]string), Services: make(map[string]string), EnginesByModel: make(map[string][]string),
	}
	index := document.NewIndex(0, e.doc)
	for _, m := range e.doc.Models {
		ref := model.Ref{Model: m.Name, Version: m.Current}
		options.Models[string(m.Name)] = ref.String()
		for _, u := range index.Engines(ref) {
			options.EnginesByModel[string(m.Name)] = append(options.EnginesByModel[string(m.Name)], e.Addresses[u.ID])
		}
	}
	for _, u := range e.doc.Upstreams {
		if u.Kind == upstream.Service {
			options.Services[u.Service] = e.Addresses[u.ID]
		}
	}
	e.OldRouter = oldrouter.Start(listener, options)
	e.Addresses[id] = e.OldRouter.URL()
	return nil
}

// listenLoopback listens on a free port of 127.0.0.1.
func listenLoopback() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen on 127.0.0.1")
	}
	return l, nil
}
