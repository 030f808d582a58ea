package peerfeed

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/internal/fetch"
	"github.com/poplarshore/poplarshore/internal/watch"
)

// Path is the path under which a VM passes on what it read.
const Path = "GET /feed/{table}"

// wholeTable in place of a revision asks for the whole table.
const wholeTable watch.Revision = -1

// query is what a VM asks another one for.
type query struct {
	table string
	after watch.Revision
	wait  time.Duration
	// old tells that what is not fresh will do.
	old bool
}

func (q query) encode(address string) string {
	values := url.Values{
		"after":   {strconv.FormatInt(int64(q.after), 10)},
		"wait_ms": {strconv.FormatInt(q.wait.Milliseconds(), 10)},
		"old":     {strconv.FormatBool(q.old)},
	}
	return "http://" + address + "/feed/" + url.PathEscape(q.table) + "?" + values.Encode()
}

func decode(r *http.Request) (query, error) {
	values := r.URL.Query()
	after, err := strconv.ParseInt(values.Get("after"), 10, 64)
	if err != nil {
		return query{}, err
	}
	wait, err := strconv.ParseInt(values.Get("wait_ms"), 10, 64)
	if err != nil {
		return query{}, err
	}
	old, err := strconv.ParseBool(values.Get("old"))
	return query{
		table: r.PathValue("table"), after: watch.Revision(after), wait: time.Duration(wait) * time.Millisecond, old: old,
	}, err
}

// ask polls another VM. Errors: ErrNoReader, watch.ErrHistoryGone.
func (f *Feed) ask(ctx context.Context, p peer, q query) (watch.Batch, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, q.encode(p.address), nil)
	if err != nil {
		return watch.Batch{}, ErrNoReader.Wrap(err, "request")
	}
	reply, err := fetch.Do(f.http, req, fetch.Limits{Head: q.wait + f.opts.Slack, Silence: f.opts.Slack, MaxBytes: maxBatchBytes})
	if err != nil {
		return watch.Batch{}, ErrNoReader.Wrap(err, "reader %s", p.name)
	}
	switch reply.Status {
	case http.StatusOK:
	case http.StatusGone:
		return watch.Batch{}, watch.ErrHistoryGone.New("reader %s, after %d", p.name, q.after)
	case http.StatusServiceUnavailable:
		return watch.Batch{}, errStale.New("reader %s", p.name)
	default:
		return watch.Batch{}, ErrNoReader.New("reader %s: status %d", p.name, reply.Status)
	}
	var b watch.Batch
	if err := json.Unmarshal(reply.Body, &b); err != nil {
		return watch.Batch{}, ErrNoReader.Wrap(err, "reader %s", p.name)
	}
	return b, nil
}

// ServeHTTP implements http.Handler for Path.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := decode(r)
	if err != nil {
		http.Error(w, "after, wait_ms and old are needed: "+err.Error(), http.StatusBadRequest)
		return
	}
	h := f.history(q.table)
	if !q.old {
		f.press(q.table, h.fresh(f.clock.Now(), f.opts.MaxAge))
		h.await(r.Context(), f.clock, min(q.wait, f.opts.FreshWait), f.opts.MaxAge)
	}
	a := h.poll(r.Context(), f.clock, q.after, q.wait, f.opts.MaxAge)
	switch {
	case q.old && !a.known, !q.old && a.freshFor <= 0:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case !a.known:
		w.WriteHeader(http.StatusGone)
		return
	}
	if err := write(w, r, a.batch); err != nil {
		f.log.Debug("follower left", "error", err)
	}
}

const (
	// compressFromBytes is the length from which an answer is compressed, as
	// links between VMs may be thin.
	compressFromBytes = 4 << 10
	// maxBatchBytes bounds an answer.
	maxBatchBytes = 16 << 20
)

// write answers with a batch.
func write(w http.ResponseWriter, r *http.Request, b watch.Batch) error {
	text, err := json.Marshal(b)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	if len(text) < compressFromBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, err = w.Write(text)
		return err
	}
	w.Header().Set("Content-Encoding", "gzip")
	out, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return err
	}
	if _, err := out.Write(text); err != nil {
		return err
	}
	return out.Close()
}
