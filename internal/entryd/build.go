package entryd

import (
	"crypto/rand"
	"encoding/hex"
	randv2 "math/rand/v2"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/coord/once"
	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/internal/billing"
	"github.com/poplarshore/poplarshore/internal/config"
	"github.com/poplarshore/poplarshore/internal/departures"
	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/entry"
	"github.com/poplarshore/poplarshore/internal/limits"
	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/internal/metrics"
	"github.com/poplarshore/poplarshore/internal/peer"
	"github.com/poplarshore/poplarshore/internal/placement"
	"github.com/poplarshore/poplarshore/internal/ratings"
	"github.com/poplarshore/poplarshore/internal/sessions"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/internal/versions"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/platform"
	"github.com/poplarshore/poplarshore/platform/httplist"
	"github.com/poplarshore/poplarshore/platform/httprater"
	"github.com/poplarshore/poplarshore/platform/httpstore"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/upstream"
)

// secrets are the shared secrets. They are read at the start from the files named
// in the settings.
type secrets struct {
	peer     []byte // token of requests between entry VMs, and key of resume tokens
	operator []byte // token of operators' requests
	// promotion is the key that signs documents in the trial environment and
	// verifies them in production; nil if the environment has no promotion role.
	promotion []byte
	// sessions holds the keys that sign session tokens, by key name.
	sessions map[string][]byte
}

// platformClients are the clients of the platform's services.
type platformClients struct {
	table   store.Table
	objects store.Objects
	vmList  platform.VMList
	rater   platform.Rater // nil if the settings name no rating service
}

// idBytes is the length of a random ID in bytes, before hex encoding.
const idBytes = 12

// newID returns a random ID that is unique among all VMs.
func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// newRequestID returns the ID of a new request, unique among all VMs and restarts.
func (d *Daemon) newRequestID(issued time.Time) string {
	return billing.RequestID(issued, string(d.incarnation), d.requestCount.Add(1))
}

// newSessionID returns a random session ID in hexadecimal.
func newSessionID() string {
	return strconv.FormatUint(randv2.Uint64(), 16)
}

// newRegistry returns a registry with the metrics of the Go runtime and the process.
func newRegistry() *metrics.Registry {
	reg := metrics.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return reg
}

// buildSecrets reads the secrets from their files.
func (d *Daemon) buildSecrets() error {
	var err error
	if d.secrets.peer, err = settings.Secret(d.settings.PeerTokenFile); err != nil {
		return err
	}
	if d.secrets.operator, err = settings.Secret(d.settings.OperatorTokenFile); err != nil {
		return err
	}
	if file := d.settings.Promotion.KeyFile; file != "" {
		if d.secrets.promotion, err = settings.Secret(file); err != nil {
			return err
		}
	}
	d.secrets.sessions = make(map[string][]byte)
	for name, path := range d.settings.SessionKeyFiles {
		if d.secrets.sessions[name], err = settings.Secret(path); err != nil {
			return err
		}
	}
	return nil
}

// buildTransport creates the connection pools for upstreams and for platform
// services and peers. net/http does not resend writes to the store on its own,
// because their request bodies can't be read twice.
func (d *Daemon) buildTransport() error {
	config, err := listen.ClientTLS(d.settings.UpstreamCAFile, d.settings.Peers.TLS)
	if err != nil {
		return err
	}
	opts := transport.Options{ConnectTimeout: d.settings.Timeouts.ConnectMS.Duration(), TLS: config}
	d.pools = transport.NewPools(opts)
	d.outbound = transport.NewPool(opts)
	return nil
}

// buildPlatform creates the clients of the platform's services and of the peers.
func (d *Daemon) buildPlatform() error {
	p := d.settings.Platform
	services, peers := d.outbound.ByMethod(), d.outbound.Idempotent()
	d.platform.table = httpstore.NewTable(httpstore.Options{BaseURL: p.Table, Transport: services})
	d.platform.objects = httpstore.NewObjects(httpstore.Options{BaseURL: p.Objects, Transport: services})
	d.platform.vmList = httplist.New(httplist.Options{BaseURL: p.VMList, Transport: services, Skipped: d.skippedVM()})
	if p.Rater != "" {
		d.platform.rater = httprater.New(httprater.Options{BaseURL: p.Rater, Transport: services})
	}
	scheme := "http"
	if d.settings.Peers.TLS.Enabled() {
		scheme = "https"
	}
	d.peers = &peer.Client{Scheme: scheme, Token: d.secrets.peer, Book: d.addressBook, Transport: peers}
	return nil
}

// buildConfiguration creates the components that receive, apply and publish
// revisions of the configuration.
func (d *Daemon) buildConfiguration() error {
	d.follower = config.New(d.clock, d.log, d.registry, d.install)
	d.node = revision.NewNode(revision.Options{
		ID: revision.NodeID(d.self.ID), FreshFor: d.settings.Timeouts.FreshForMS.Duration(),
		Members: d.members, Apply: d.follower.Apply, Clock: d.clock, Observer: d.follower,
	})
	d.follower.Bind(d.node)
	d.syncer = revision.NewSyncer(revision.SyncerOptions{
		Node: d.node, Table: d.platform.table, Objects: d.platform.objects, Prefix: d.rows.Configuration(),
		Directory: d.peers, CallTimeout: d.settings.Timeouts.StoreMS.Duration(), Clock: d.clock, Observer: d.follower,
	})
	d.publisher = revision.NewPublisher(revision.PublisherOptions{
		Table: d.platform.table, Objects: d.platform.objects, Prefix: d.rows.Configuration(),
		Node: d.node, Announcer: d.syncer, Clock: d.clock, Observer: d.follower,
	})
	return nil
}

// members returns the live entry VMs that this one knows, itself included.
func (d *Daemon) members() []revision.NodeID {
	ids := d.addressBook.All()
	nodes := make([]revision.NodeID, len(ids))
	for i, id := range ids {
		nodes[i] = revision.NodeID(id)
	}
	return nodes
}

// install passes a new configuration to the components that depend on it. The
// follower calls it before it puts the configuration in force.
func (d *Daemon) install(index *document.Index) {
	d.placement.Install(index)
	d.departures.Apply()
	d.versions.Install(index)
}

// buildPolicies creates the components that select versions and upstreams, limit
// requests and rate answers.
func (d *Daemon) buildPolicies() error {
	d.versions = versions.New(d.self, d.clock, d.log, d.registry)
	refusedCandidates := newCounterVec("route_refused_total", "Candidates refused when an upstream was chosen, by reason.", "reason")
	breakerChanges := newCounterVec("breaker_changes_total", "Changes of circuit breakers, by new state.", "state")
	d.registry.MustRegister(refusedCandidates, breakerChanges)
	breakerOpts := retry.DefaultBreakerOptions()
	breakerOpts.OnChange = func(_ retry.BreakerKey, s retry.BreakerState) { breakerChanges.WithLabelValues(s.String()).Inc() }
	routeOpts := route.DefaultOptions()
	routeOpts.OnRefused = func(reason route.Reason, n int) { refusedCandidates.WithLabelValues(reason.String()).Add(float64(n)) }
	d.placement = placement.New(d.self, d.clock, retry.NewBreakers(breakerOpts), routeOpts, placement.Hooks{
		AttemptEnded: d.versions.RecordAttempt,
		Leaving:      func(id upstream.ID) { d.departures.Leaving(id) },
		Staying:      func(id upstream.ID, taken time.Time) { d.departures.Staying(id, taken) },
	})
	d.departures = departures.New(departures.Options{
		Self: d.self.ID, Directory: peer.RosterDirectory{Client: d.peers}, VisibleUpstreams: d.placement.Subset,
		SetLeaving: func(id upstream.ID, leaving bool) { _ = d.placement.State().SetLeaving(id, leaving) },
		Clock:      d.clock,
	}, d.registry)
	d.limiter = limit.New(limit.DefaultOptions(d.self.ID, d.incarnation))
	d.limits = limits.New(d.limiter, d.clock, d.registry)
	d.ratings = ratings.New(ratings.Options{
		Rater: d.platform.rater, Share: float64(d.settings.Requests.RatedSharePerMil) / 1000,
		OnRating: d.versions.RecordRating, OnOutage: d.versions.SetRaterOut, Clock: d.clock,
	}, d.registry)
	return nil
}

// newCounterVec returns an unregistered counter with one label.
func newCounterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "poplarshore", Name: name, Help: help}, []string{label})
}

// maxStoredResultBytes is the maximum size in bytes of the stored response of a
// claimed call.
const maxStoredResultBytes = 256 << 10

// buildEntry creates the server for callers' requests.
func (d *Daemon) buildEntry() error {
	timeouts := d.settings.Timeouts
	d.engines = engineclient.New(d.pools, engineclient.Limits{Headers: timeouts.HeadersMS.Duration(), Idle: timeouts.IdleMS.Duration()}, d.memory)
	claimEvents := newCounterVec("claim_events_total", "Events of claims of non-idempotent calls, by kind.", "event")
	d.registry.MustRegister(claimEvents)
	claims, err := once.New(d.platform.table, string(d.self.ID)+"/"+string(d.incarnation), once.Options{
		StoreTimeout: timeouts.StoreMS.Duration(), MaxResultBytes: maxStoredResultBytes, Prefix: d.rows.Claims(), Clock: d.clock,
		Observer: claimObserver{claimEvents},
	})
	if err != nil {
		return err
	}
	d.readyGauge = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "poplarshore", Name: "ready", Help: "1 while the balancer should send callers to this VM.",
	})
	d.registry.MustRegister(d.readyGauge)
	refusedRetries := newCounterVec("retries_refused_total", "Retries not made, by reason.", "reason")
	cascadeSteps := newCounterVec("cascade_steps_total", "Steps of cascades, by reason.", "reason")
	d.registry.MustRegister(refusedRetries, cascadeSteps)
	d.budgets = retry.NewBudgets(retry.DefaultBudgetOptions())
	retryOpts := retry.DefaultOptions()
	retryOpts.Hooks.OnGiveUp = func(_ retry.FailureKind, r retry.Reason) { refusedRetries.WithLabelValues(r.String()).Inc() }
	d.entry = entry.New(entry.Deps{
		Config: d.follower, Versions: d.versions, Placement: d.placement,
		Retry:  retry.NewPolicy(retryOpts, d.budgets),
		Limits: d.limits, Ratings: d.ratings, Biller: d.billing.biller, Claims: claims,
		Cascades: cascade.New(cascade.Options{
			Rand:  randv2.New(randv2.NewPCG(randv2.Uint64(), randv2.Uint64())),
			Hooks: cascade.Hooks{Step: func(_ cascade.Kind, r cascade.Reason) { cascadeSteps.WithLabelValues(string(r)).Inc() }},
		}),
		Sessions: sessions.New(d.secrets.sessions, d.clock), Addresses: d.settings.Upstreams,
		Engines: d.engines, Pools: d.pools, Clock: d.clock, NewID: newID, NewRequestID: d.newRequestID, NewSessionID: newSessionID,
		Draw: randv2.Float64, ResumeKey: d.secrets.peer, Memory: d.memory, Log: d.log, Registry: d.registry,
	}, entryOptions(d.settings))
	return nil
}

// entryOptions returns the server options that the settings contain.
func entryOptions(s *settings.Entry) entry.Options {
	return entry.Options{
		Region: s.VM.Region, Hop: string(s.VM.ID), MaxBodyBytes: s.Requests.MaxBodyBytes,
		BodyTimeout: s.Requests.BodyTimeoutMS.Duration(), MaxTokens: s.Requests.MaxTokens,
		DefaultTokens: s.Requests.DefaultTokens, MaxBufferedBytes: s.Requests.MaxHeldBytes,
		ServiceIdleTimeout: s.Timeouts.ServiceIdleMS.Duration(),
		WriteTimeout:       s.Requests.WriteTimeoutMS.Duration(),
		BillTimeout:        s.Timeouts.BillMS.Duration(),
	}
}

// Metrics returns the help texts of the daemon's metrics by name, without those of
// the Go runtime and the process.
func (d *Daemon) Metrics() map[string]string {
	return d.registry.Descriptions("poplarshore_")
}

// updateGauges updates the metrics that are sampled periodically.
func (d *Daemon) updateGauges() {
	d.limits.UpdateMetrics()
	d.readyGauge.Set(0)
	if d.IsReady() {
		d.readyGauge.Set(1)
	}
}
