//go:build review

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// table is a store of rows whose answers are linearizable: an answer without changes has the version at which there was none.
type table struct {
	started time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[[2]string]storedRow
	log     []storedRow
	changed chan struct{}
}

// storedRow is a row as the calls return it.
type storedRow struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     int64  `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

// answer is the body of every answer.
type answer struct {
	Rows      []storedRow `json:"Rows"`
	Truncated bool        `json:"Truncated"`
	Ver       int64       `json:"Ver"`
	NowMs     int64       `json:"NowMs"`
}

func newTable() *table {
	return &table{started: time.Now(), rows: make(map[[2]string]storedRow), changed: make(chan struct{})}
}

// put writes a row as operators and engines do, and returns when it is acknowledged.
func (t *table) put(name, key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ver++
	t.apply(storedRow{Table: name, Key: key, Value: text, Ver: t.ver})
	t.notify()
	return time.Now()
}

// The caller of the following methods holds mu.

func (t *table) apply(r storedRow) {
	key := [2]string{r.Table, r.Key}
	if r.Deleted {
		delete(t.rows, key)
	} else {
		t.rows[key] = r
	}
	t.log = append(t.log, r)
}

func (t *table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *table) answer(rows []storedRow) answer {
	return answer{Rows: rows, Ver: t.ver, NowMs: time.Since(t.started).Milliseconds() + 1}
}

// answerTime is how long the store takes for a call.
const answerTime = 4 * time.Millisecond

// ServeHTTP implements http.Handler.
func (t *table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	status, body := http.StatusNotFound, answer{}
	switch r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:] {
	case "rows-get":
		status, body = t.list(r)
	case "rows-feed":
		status, body = t.feed(r)
	case "rows-tx":
		status, body = t.commit(r)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (t *table) list(r *http.Request) (int, answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []storedRow
	for key, row := range t.rows {
		if key[0] == r.URL.Query().Get("Table") && key[1] >= r.URL.Query().Get("From") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storedRow) int { return strings.Compare(a.Key, b.Key) })
	return http.StatusOK, t.answer(rows)
}

func (t *table) feed(r *http.Request) (int, answer) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("After"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		t.mu.Lock()
		var rows []storedRow
		for _, row := range t.log {
			if row.Table == r.URL.Query().Get("Table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		body, changed := t.answer(rows), t.changed
		t.mu.Unlock()
		if len(rows) > 0 || over {
			return http.StatusOK, body
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			over = true
		}
	}
}

func (t *table) commit(r *http.Request) (int, answer) {
	var body struct{ Expected, Puts, Remove []storedRow }
	text, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(text, &body) != nil {
		return http.StatusBadRequest, answer{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var current []storedRow
	conflict := false
	for _, e := range body.Expected {
		row, exists := t.rows[[2]string{e.Table, e.Key}]
		conflict = conflict || row.Ver != e.Ver
		if exists {
			current = append(current, row)
		}
	}
	if conflict {
		return http.StatusPreconditionFailed, t.answer(current)
	}
	t.ver++
	for _, p := range body.Puts {
		t.apply(storedRow{Table: p.Table, Key: p.Key, Value: p.Value, Ver: t.ver})
	}
	for _, p := range body.Remove {
		t.apply(storedRow{Table: p.Table, Key: p.Key, Ver: t.ver, Deleted: true})
	}
	t.notify()
	return http.StatusOK, t.answer(nil)
}
