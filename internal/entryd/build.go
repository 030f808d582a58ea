package entryd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	randv2 "math/rand/v2"
	"net/http"
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

// secrets are read once from the files that the settings name.
type secrets struct {
	peer     []byte
	operator []byte
	// promotion signs documents in the trial environment; nil where the
	// environment has no part in promotion.
	promotion []byte
	sessions  map[string][]byte
}

// outside is the platform's services.
type outside struct {
	table   store.Table
	objects store.Objects
	list    platform.VMList
	rater   platform.Rater
}

// idBytes is the length of a random id.
const idBytes = 12

// newID returns a random id that is unique everywhere.
func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (d *Daemon) newRequestID(issued time.Time) string {
	return billing.RequestID(issued, string(d.life), d.requests.Add(1))
}

func newSessionID() string {
	return strconv.FormatUint(randv2.Uint64(), 16)
}

func newRegistry() *metrics.Registry {
	reg := metrics.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return reg
}

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

// transportFor returns the connections to platform services and peers. Writes
// to the store get connections that net/http can't resend on by themselves, as
// their requests have no way to be read twice.
func (d *Daemon) transportFor() (http.RoundTripper, error) {
	config, err := listen.ClientTLS(d.settings.UpstreamCAFile, d.settings.Peers.TLS)
	if err != nil {
		return nil, err
	}
	d.outside = transport.NewPool(transport.Options{ConnectTimeout: d.settings.Timeouts.ConnectMS.Duration(), TLS: config})
	return d.outside.Repeatable(), nil
}

func (d *Daemon) buildPlatform() error {
	p := d.settings.Platform
	via, err := d.transportFor()
	if err != nil {
		return err
	}
	d.platform.table = httpstore.NewTable(httpstore.Options{BaseURL: p.Table, Transport: via})
	d.platform.objects = httpstore.NewObjects(httpstore.Options{BaseURL: p.Objects, Transport: via})
	d.platform.list = httplist.New(httplist.Options{BaseURL: p.VMList, Transport: via})
	if p.Rater != "" {
		d.platform.rater = httprater.New(httprater.Options{BaseURL: p.Rater, Transport: via})
	}
	scheme := "http"
	if d.settings.Peers.TLS.Enabled() {
		scheme = "https"
	}
	d.peers = &peer.Client{Scheme: scheme, Token: d.secrets.peer, Book: d.book, Via: via}
	return nil
}

func (d *Daemon) buildConfiguration() error {
	d.follower = config.New(d.clock, d.log, d.registry, d.install)
	d.node = revision.NewNode(revision.Options{
		ID: revision.NodeID(d.self.ID), FreshFor: d.settings.Timeouts.FreshForMS.Duration(),
		Members: d.members, Apply: d.follower.Apply, Clock: d.clock, Observer: d.follower,
	})
	d.follower.Bind(d.node)
	d.spreader = revision.NewSpreader(revision.SpreaderOptions{
		Node: d.node, Table: d.platform.table, Objects: d.platform.objects, Prefix: d.rows.Configuration(),
		Directory: d.peers, CallTimeout: d.settings.Timeouts.StoreMS.Duration(), Clock: d.clock, Observer: d.follower,
	})
	d.publisher = revision.NewPublisher(revision.PublisherOptions{
		Table: d.platform.table, Objects: d.platform.objects, Prefix: d.rows.Configuration(),
		Node: d.node, Announcer: d.spreader, Clock: d.clock, Observer: d.follower,
	})
	return nil
}

func (d *Daemon) members() []revision.NodeID {
	ids := d.book.All()
	nodes := make([]revision.NodeID, len(ids))
	for i, id := range ids {
		nodes[i] = revision.NodeID(id)
	}
	return nodes
}

// install gives a configuration to the parts that decide by it, before it is
// in force.
func (d *Daemon) install(x *document.Index) {
	d.placement.Install(x)
	d.departures.Apply()
	d.versions.Install(x)
}

func (d *Daemon) buildDecisions() error {
	d.versions = versions.New(d.self, d.clock, d.log, d.registry)
	routed := counterVec("route_refused_total", "Candidates refused when an upstream was chosen, by reason.", "reason")
	breakers := counterVec("breaker_changes_total", "Changes of circuit breakers, by new state.", "state")
	d.registry.MustRegister(routed, breakers)
	breakerOpts := retry.DefaultBreakerOptions()
	breakerOpts.OnChange = func(_ retry.BreakerKey, s retry.BreakerState) { breakers.WithLabelValues(s.String()).Inc() }
	routeOpts := route.DefaultOptions()
	routeOpts.OnRefused = func(reason route.Reason, n int) { routed.WithLabelValues(reason.String()).Add(float64(n)) }
	d.placement = placement.New(d.self, d.clock, retry.NewBreakers(breakerOpts), routeOpts, placement.Hooks{
		Ended:   d.versions.Ended,
		Leaving: func(id upstream.ID) { d.departures.Leaving(id) },
		Staying: func(id upstream.ID, taken time.Time) { d.departures.Staying(id, taken) },
	})
	d.departures = departures.New(departures.Options{
		Self: d.self.ID, Directory: peer.RosterDirectory{Client: d.peers}, Sight: d.placement.Sight,
		SetLeaving: func(id upstream.ID, leaving bool) { _ = d.placement.State().SetLeaving(id, leaving) },
		Clock:      d.clock,
	}, d.registry)
	d.limiter = limit.New(limit.DefaultOptions(d.self.ID, d.life))
	d.limits = limits.New(d.limiter, d.clock, d.registry)
	d.ratings = ratings.New(ratings.Options{
		Rater: d.platform.rater, Share: float64(d.settings.Requests.RatedSharePerMil) / 1000,
		Rated: d.versions.Rated, Out: d.versions.SetRaterOut, Clock: d.clock,
	}, d.registry)
	return nil
}

func counterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "poplarshore", Name: name, Help: help}, []string{label})
}

// maxOnceResult bounds the kept answer of a claimed call, in bytes.
const maxOnceResult = 256 << 10

func (d *Daemon) buildEntry() error {
	t := d.settings.Timeouts
	d.engines = engineclient.New(d.pools, engineclient.Limits{Headers: t.HeadersMS.Duration(), Idle: t.IdleMS.Duration()})
	claims := counterVec("claim_events_total", "Events of claims of non-idempotent calls, by kind.", "event")
	d.registry.MustRegister(claims)
	claimed, err := once.New(d.platform.table, string(d.self.ID)+"/"+string(d.life), once.Options{
		StoreTimeout: t.StoreMS.Duration(), MaxResult: maxOnceResult, Prefix: d.rows.Claims(), Clock: d.clock,
		Observer: claimEvents{claims},
	})
	if err != nil {
		return err
	}
	d.readyGauge = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "poplarshore", Name: "ready", Help: "1 while the balancer should send callers to this VM.",
	})
	d.registry.MustRegister(d.readyGauge)
	giveUps := counterVec("retries_refused_total", "Retries not made, by reason.", "reason")
	steps := counterVec("cascade_steps_total", "Steps of cascades, by reason.", "reason")
	d.registry.MustRegister(giveUps, steps)
	d.budgets = retry.NewBudgets(retry.DefaultBudgetOptions())
	retryOpts := retry.DefaultOptions()
	retryOpts.Hooks.OnGiveUp = func(_ retry.Kind, r retry.Reason) { giveUps.WithLabelValues(r.String()).Inc() }
	d.entry = entry.New(entry.Deps{
		Config: d.follower, Versions: d.versions, Placement: d.placement,
		Retry:  retry.NewPolicy(retryOpts, d.budgets),
		Limits: d.limits, Ratings: d.ratings, Biller: d.billing.biller, Claims: claimed,
		Cascades: cascade.New(cascade.Options{
			Rand:  randv2.New(randv2.NewPCG(randv2.Uint64(), randv2.Uint64())),
			Hooks: cascade.Hooks{Step: func(_ cascade.Kind, r cascade.Reason) { steps.WithLabelValues(string(r)).Inc() }},
		}),
		Sessions: sessions.New(d.secrets.sessions, d.clock), Addresses: d.settings.Upstreams,
		Engines: d.engines, Pools: d.pools, Clock: d.clock, NewID: newID, NewRequestID: d.newRequestID, NewSessionID: newSessionID,
		Draw: randv2.Float64, ResumeKey: d.secrets.peer, Registry: d.registry,
	}, entryOptions(d.settings))
	return nil
}

func entryOptions(s *settings.Entry) entry.Options {
	return entry.Options{
		Region: s.VM.Region, Hop: string(s.VM.ID), MaxBodyBytes: s.Requests.MaxBodyBytes,
		BodyTimeout: s.Requests.BodyTimeoutMS.Duration(), MaxTokens: s.Requests.MaxTokens,
		DefaultTokens: s.Requests.DefaultTokens, MaxHeldBytes: s.Requests.MaxHeldBytes,
		WriteTimeout: s.Requests.WriteTimeoutMS.Duration(),
		BillTimeout:  s.Timeouts.BillMS.Duration(),
	}
}

// Metrics returns the help of each metric of this project, by name.
func (d *Daemon) Metrics() map[string]string {
	return d.registry.Descriptions("poplarshore_")
}

// gauge writes what is read at intervals to the metrics.
func (d *Daemon) gauge() {
	d.limits.Gauge()
	d.readyGauge.Set(0)
	if d.IsReady() {
		d.readyGauge.Set(1)
	}
}

// ready tells whether the balancer should send callers here.
func (d *Daemon) ready() (string, bool) {
	select {
	case <-d.stopping:
		return "draining", false
	default:
	}
	if why := d.follower.Refusal(); why != nil {
		return string(why.Reason) + ": " + string(d.node.Freshness(d.clock.Now())), false
	}
	if !d.billing.biller.Open() {
		return "billing_unavailable", false
	}
	return "ready", true
}

// stopGrace bounds the end of the listeners at a stop.
const stopGrace = 5 * time.Second

// BeginStop turns the daemon not ready, so that the balancer sends callers
// elsewhere. Stop calls it too.
func (d *Daemon) BeginStop() {
	d.beginStop.Do(func() { close(d.stopping) })
}

// Stop ends the daemon without cutting off a request: not ready first, then no
// new work once the balancer had time to notice, then the end of all requests
// in flight, then what must be kept. The wait for the balancer ends early when
// noticed is closed; nil waits for the whole grace. Stop returns the number of
// requests cut off because ctx or the drain limit ended first.
func (d *Daemon) Stop(ctx context.Context, noticed <-chan struct{}) int {
	d.BeginStop()
	d.log.Info("stopping", "in_flight", d.entry.InFlight())
	d.wait(ctx, d.settings.Stop.BalancerGraceMS.Duration(), noticed)
	d.entry.Drain()
	d.wait(ctx, d.settings.Stop.DrainMS.Duration(), d.entry.Idle())
	cut := d.entry.InFlight()
	if cut > 0 {
		d.log.Error("stopping with requests in flight", "cut", cut)
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopGrace)
	defer cancel()
	if cut == 0 {
		_ = d.callers.Shutdown(shutdown)
	}
	d.stopBilling(shutdown)
	d.runner.Stop()
	d.close()
	d.pools.Close()
	d.outside.Close()
	d.log.Info("stopped", "cut", cut)
	return cut
}

// wait waits for done, the limit or the end of ctx.
func (d *Daemon) wait(ctx context.Context, limit time.Duration, done <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-done:
	case <-d.clock.After(limit):
	}
}

// readyPoll is the time between two looks at whether the daemon is ready.
const readyPoll = 10 * time.Millisecond

// IsReady tells whether the daemon is ready to serve.
func (d *Daemon) IsReady() bool {
	_, ok := d.ready()
	return ok
}

// AwaitReady waits until the daemon is ready to serve.
func (d *Daemon) AwaitReady(ctx context.Context) error {
	for {
		if _, ok := d.ready(); ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-d.clock.After(readyPoll):
		}
	}
}

// Members returns the number of live entry VMs known, this one included.
func (d *Daemon) Members() int {
	return len(d.book.All())
}

// Revision returns the number of the configuration in force.
func (d *Daemon) Revision() uint64 {
	if x := d.follower.Index(); x != nil {
		return x.Number
	}
	return 0
}

// Kill ends the daemon at once, as the loss of its VM does.
func (d *Daemon) Kill() {
	d.close()
	d.runner.Stop()
	d.pools.Close()
	d.outside.Close()
}
