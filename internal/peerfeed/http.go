package peerfeed

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/poplarshore/poplarshore/internal/fetch"
	"github.com/poplarshore/poplarshore/internal/watch"
)

// Path is the http.ServeMux pattern under which a VM serves its copies of the
// tables to other VMs.
const Path = "GET /feed/{table}"

// fullTable in place of a position requests all rows of the table.
var fullTable = watch.Cursor{Revision: -1}

// query is a VM's request to another one.
type query struct {
	table string
	after watch.Cursor
	// wait is how long the other VM may wait for changes.
	wait time.Duration
	// renew requests a response as soon as the store has confirmed the data again, too.
	renew bool
	// spread is the time over which such responses to several VMs are spread.
	spread time.Duration
	// allowStale accepts data that is not fresh.
	allowStale bool
}

// requestURL returns the URL of the query to the VM at address.
func (q query) requestURL(address string) string {
	values := url.Values{
		"after":     {strconv.FormatInt(int64(q.after.Revision), 10)},
		"era":       {strconv.FormatInt(int64(q.after.Era), 10)},
		"wait_ms":   {strconv.FormatInt(q.wait.Milliseconds(), 10)},
		"old":       {strconv.FormatBool(q.allowStale)},
		"renew":     {strconv.FormatBool(q.renew)},
		"spread_ms": {strconv.FormatInt(q.spread.Milliseconds(), 10)},
	}
	return "http://" + address + "/feed/" + url.PathEscape(q.table) + "?" + values.Encode()
}

// parseQuery reads the query that requestURL encoded.
func parseQuery(r *http.Request) (query, error) {
	values := r.URL.Query()
	after, err := strconv.ParseInt(values.Get("after"), 10, 64)
	if err != nil {
		return query{}, err
	}
	era, err := strconv.ParseInt(values.Get("era"), 10, 64)
	if err != nil {
		return query{}, err
	}
	wait, err := strconv.ParseInt(values.Get("wait_ms"), 10, 64)
	if err != nil {
		return query{}, err
	}
	// Older builds send no spread.
	spread, _ := parseMilliseconds(values.Get("spread_ms"))
	allowStale, err := strconv.ParseBool(values.Get("old"))
	return query{
		table: r.PathValue("table"), after: watch.Cursor{Era: watch.Era(era), Revision: watch.Revision(after)},
		wait: time.Duration(min(max(wait, 0), maxMilliseconds)) * time.Millisecond, renew: values.Get("renew") == "true", spread: spread, allowStale: allowStale,
	}, err
}

const (
	// headerAge is the response header with the time since the store confirmed the
	// batch, in milliseconds.
	headerAge = "Data-Age-Ms"
	// headerCopyAge is the response header with the time since the store confirmed the copy, also of one that this VM
	// does not serve as fresh, in milliseconds. It is missing while that is unknown, and builds before it don't send it.
	headerCopyAge = "Copy-Age-Ms"
	// headerStoreClock is the response header with the time on the store's steady clock,
	// in milliseconds; it is missing while that is unknown.
	headerStoreClock = "Store-Clock-Ms"
	// headerStoreUp is the response header with how long, at least, the store has answered
	// without interruption, in milliseconds. Builds before it don't send it.
	headerStoreUp = "Store-Up-Ms"
)

// pollPeer sends a query to another VM. Errors: ErrNoReader, its subtypes errStale and errPeerConnectionLost,
// and watch.ErrHistoryGone.
func (f *Feed) pollPeer(ctx context.Context, p peer, q query) (watch.Batch, error) {
	resp, err := f.fetchFromPeer(ctx, p, q)
	if err != nil {
		return watch.Batch{}, err
	}
	receivedAt := f.clock.Now()
	b, err := unmarshalBatch(resp.Body)
	if err != nil {
		return watch.Batch{}, ErrNoReader.Wrap(err, "decode response of reader %s", p.name)
	}
	b.ReceivedAt = receivedAt
	f.observeClock(resp.Header)
	age, ok := parseMilliseconds(resp.Header.Get(headerAge))
	if !ok && p.passesOn {
		return watch.Batch{}, ErrNoReader.New("response of reader %s without the age of its data", p.name)
	}
	if copyAge, known := parseMilliseconds(resp.Header.Get(headerCopyAge)); known {
		b.ConfirmedAt = f.clock.Now().Add(-copyAge)
	} else if ok && !q.allowStale {
		b.ConfirmedAt = f.clock.Now().Add(-age)
	}
	if up, ok := parseMilliseconds(resp.Header.Get(headerStoreUp)); ok {
		b.StoreUp = up
	}
	return b, nil
}

// maxMilliseconds bounds times in headers, in milliseconds, so that they can be represented in nanoseconds
// and added up: about 190 years.
const maxMilliseconds = 6_000_000_000_000

// parseMilliseconds parses a number of milliseconds. It returns false if it is none, or out of bounds.
func parseMilliseconds(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxMilliseconds {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// setClock adds the time on the store's clock to a response, if it is known.
func (f *Feed) setClock(h http.Header) {
	if f.opts.StoreClock == nil {
		return
	}
	if now, known := f.opts.StoreClock.Now(); known {
		h.Set(headerStoreClock, strconv.FormatInt(now.Milliseconds(), 10))
	}
}

// observeClock learns the time on the store's clock from the response of a reader.
func (f *Feed) observeClock(h http.Header) {
	if now, ok := parseMilliseconds(h.Get(headerStoreClock)); ok && f.opts.StoreClock != nil {
		f.opts.StoreClock.ObserveClock(now)
	}
}

// fetchFromPeer sends a query and returns the response if it has status 200. Errors: as
// for pollPeer.
func (f *Feed) fetchFromPeer(ctx context.Context, p peer, q query) (fetch.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, q.requestURL(p.address), nil)
	if err != nil {
		return fetch.Response{}, ErrNoReader.Wrap(err, "create request")
	}
	resp, err := f.timeouts.Do(f.http, req, p.address, q.wait, fetch.Limits{MaxBytes: maxBatchBytes})
	if err != nil && resp.Conn.MayBeLost(q.wait) && ctx.Err() == nil {
		// Those to other VMs may have been lost together with it.
		f.http.CloseIdleConnections()
		return fetch.Response{}, errPeerConnectionLost.Wrap(err, "poll reader %s", p.name)
	}
	if err != nil {
		return fetch.Response{}, ErrNoReader.Wrap(err, "poll reader %s", p.name)
	}
	switch resp.Status {
	case http.StatusOK:
		return resp, nil
	case http.StatusGone:
		return fetch.Response{}, watch.ErrHistoryGone.New("reader %s does not have the changes after revision %d of era %d",
			p.name, q.after.Revision, q.after.Era)
	case http.StatusServiceUnavailable:
		return fetch.Response{}, errStale.New("reader %s has no fresh data", p.name)
	}
	return fetch.Response{}, ErrNoReader.New("reader %s answered with unexpected status %d", p.name, resp.Status)
}

// ServeHTTP implements http.Handler for Path. It answers a query with the rows, as
// JSON, with 410 if the changes since the revision are no longer kept, or with 503
// if this VM has no fresh data, or for a query that accepts stale data no data at all, or older data than that VM.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if err != nil {
		http.Error(w, "after, era, wait_ms and old are needed: "+err.Error(), http.StatusBadRequest)
		return
	}
	h := f.history(q.table)
	if !q.allowStale {
		f.recordPoll(q.table, h.isFresh(f.clock.Now(), f.opts.MaxAge))
		h.waitFresh(r.Context(), f.clock, min(q.wait, f.opts.FreshWait), f.opts.MaxAge)
	}
	resp := h.poll(r.Context(), f.clock, q, f.opts.MaxAge)
	switch {
	case q.allowStale && !resp.complete && !resp.outgrown, !q.allowStale && resp.freshFor <= 0:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !resp.complete:
		w.WriteHeader(http.StatusGone)
		return
	}
	f.setClock(w.Header())
	w.Header().Set(headerAge, strconv.FormatInt((f.opts.MaxAge-resp.freshFor).Milliseconds(), 10))
	if !resp.knownAt.IsZero() {
		w.Header().Set(headerCopyAge, strconv.FormatInt(f.clock.Since(resp.knownAt).Milliseconds(), 10))
	}
	w.Header().Set(headerStoreUp, strconv.FormatInt(h.storeUp().Milliseconds(), 10))
	body, err := h.encodings.get(q.after, resp.batch)
	if err != nil {
		f.log.Error("batch can't be encoded for a follower", "table", q.table, "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if err := body.writeTo(w, r); err != nil {
		f.log.Debug("response to a follower not written completely", "error", err)
	}
}
