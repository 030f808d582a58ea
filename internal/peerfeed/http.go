package peerfeed

import (
	"context"
	"encoding/json"
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
	// allowStale accepts data that is not fresh.
	allowStale bool
}

// requestURL returns the URL of the query to the VM at address.
func (q query) requestURL(address string) string {
	values := url.Values{
		"after":   {strconv.FormatInt(int64(q.after.Revision), 10)},
		"era":     {strconv.FormatInt(int64(q.after.Era), 10)},
		"wait_ms": {strconv.FormatInt(q.wait.Milliseconds(), 10)},
		"old":     {strconv.FormatBool(q.allowStale)},
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
	allowStale, err := strconv.ParseBool(values.Get("old"))
	return query{
		table: r.PathValue("table"), wait: time.Duration(wait) * time.Millisecond, allowStale: allowStale,
		after: watch.Cursor{Era: watch.Era(era), Revision: watch.Revision(after)},
	}, err
}

// pollPeer sends a query to another VM. Errors: ErrNoReader, its subtype errStale,
// and watch.ErrHistoryGone.
func (f *Feed) pollPeer(ctx context.Context, p peer, q query) (watch.Batch, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, q.requestURL(p.address), nil)
	if err != nil {
		return watch.Batch{}, ErrNoReader.Wrap(err, "create request")
	}
	resp, err := fetch.Do(f.http, req,
		fetch.Limits{HeaderTimeout: q.wait + f.opts.Slack, IdleTimeout: f.opts.Slack, MaxBytes: maxBatchBytes})
	if err != nil {
		return watch.Batch{}, ErrNoReader.Wrap(err, "poll reader %s", p.name)
	}
	switch resp.Status {
	case http.StatusOK:
	case http.StatusGone:
		return watch.Batch{}, watch.ErrHistoryGone.New("reader %s does not have the changes after revision %d of era %d",
			p.name, q.after.Revision, q.after.Era)
	case http.StatusServiceUnavailable:
		return watch.Batch{}, errStale.New("reader %s has no fresh data", p.name)
	default:
		return watch.Batch{}, ErrNoReader.New("reader %s answered with unexpected status %d", p.name, resp.Status)
	}
	var b watch.Batch
	if err := json.Unmarshal(resp.Body, &b); err != nil {
		return watch.Batch{}, ErrNoReader.Wrap(err, "decode response of reader %s", p.name)
	}
	return b, nil
}

// ServeHTTP implements http.Handler for Path. It answers a query with the rows, as
// JSON, with 410 if the changes since the revision are no longer kept, or with 503
// if this VM has no fresh data, or no data at all for a query that accepts stale data.
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
	resp := h.poll(r.Context(), f.clock, q.after, q.wait, f.opts.MaxAge)
	switch {
	case q.allowStale && !resp.complete, !q.allowStale && resp.freshFor <= 0:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !resp.complete:
		w.WriteHeader(http.StatusGone)
		return
	}
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
