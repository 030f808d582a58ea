package gatewayd

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/peerfeed"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/settings"
)

// openListeners opens the socket for hints and the HTTP listeners.
func (d *Daemon) openListeners() error {
	var err error
	if d.hints, err = hints.Open(d.settings.Hints, d.vms, d.regionOf(d.settings.VM.Domain), d.regionOf, d.applyHint, d.log, d.hintCounts); err != nil {
		return err
	}
	bounds := listen.Bounds{MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout}
	callerBounds, relayBounds := bounds, bounds
	callerBounds.IdleLimit, callerBounds.RefuseIdle = d.operatorSink.idleLimit, true
	relayBounds.IdleLimit = func() time.Duration { return upconn.DefaultOptions().IdleTimeout }
	peerMux, metricsMux := http.NewServeMux(), http.NewServeMux()
	peerMux.Handle(peerfeed.Path, d.peerFeed)
	peerMux.Handle(members.Path, d.collector)
	peerMux.HandleFunc(quarantines.ListPath, d.quarantines.ServeList)
	peerMux.HandleFunc(quarantines.LiftPath, d.quarantines.ServeLift)
	metricsMux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	for _, l := range []struct {
		server  **listen.Server
		config  settings.Listener
		handler http.Handler
		bounds  listen.Bounds
	}{
		{&d.callerServer, d.settings.Callers, d.relay, callerBounds},
		{&d.healthServer, d.settings.Health, http.HandlerFunc(d.serveHealth), bounds},
		{&d.metricsServer, d.settings.Metrics, metricsMux, bounds},
		{&d.peerServer, d.settings.Peers, peerMux, bounds},
		{&d.relayServer, d.settings.Relay, d.relay.PeerHandler(), relayBounds},
	} {
		server, err := listen.Open(l.config, l.handler, l.bounds, d.log)
		if err != nil {
			d.closeListeners()
			return err
		}
		*l.server = server
	}
	return nil
}

// serveHealth responds with status 200 if the daemon is ready and 503 otherwise.
func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// CallersAddress returns the host:port of the listener for callers. It must not be
// called before Start.
func (d *Daemon) CallersAddress() string { return d.callerServer.Address() }

// RelayAddress returns the host:port of the listener for requests of other VMs. It must not
// be called before Start.
func (d *Daemon) RelayAddress() string { return d.relayServer.Address() }

// MetricsAddress returns the address at which metrics are read.
func (d *Daemon) MetricsAddress() string { return d.metricsServer.Address() }
