package platform

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/platform/httpstore"
	"github.com/poplarshore/poplarshore/standin/host"
)

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := s.Table.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", quote(row.Version))
	_, _ = w.Write(row.Value)
}

func (s *Server) putRow(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get("If-None-Match") == "*" {
		version, err := s.Table.Insert(r.Context(), r.PathValue("key"), value)
		written(w, http.StatusCreated, version, err)
		return
	}
	prev, ok := unquote(r.Header.Get("If-Match"))
	if !ok {
		http.Error(w, "a condition is required", http.StatusBadRequest)
		return
	}
	version, err := s.Table.Update(r.Context(), r.PathValue("key"), value, prev)
	written(w, http.StatusOK, version, err)
}

func (s *Server) deleteRow(w http.ResponseWriter, r *http.Request) {
	prev, ok := unquote(r.Header.Get("If-Match"))
	if !ok {
		http.Error(w, "a condition is required", http.StatusBadRequest)
		return
	}
	if err := s.Table.Delete(r.Context(), r.PathValue("key"), prev); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	prefix, after, limit := page(r)
	rows, err := s.Table.Scan(r.Context(), prefix, after, limit)
	if err != nil {
		fail(w, err)
		return
	}
	listing := httpstore.TableListing{Rows: make([]httpstore.RowJSON, 0, len(rows))}
	for _, row := range rows {
		listing.Rows = append(listing.Rows, httpstore.RowJSON{Key: row.Key, Value: row.Value, Version: string(row.Version)})
	}
	host.WriteJSON(w, http.StatusOK, listing)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	body, err := s.Objects.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		fail(w, err)
		return
	}
	_, _ = w.Write(body)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get("If-None-Match") != "*" {
		http.Error(w, "objects are only created", http.StatusBadRequest)
		return
	}
	if err := s.Objects.Create(r.Context(), r.PathValue("key"), body); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	if err := s.Objects.Delete(r.Context(), r.PathValue("key")); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	prefix, after, limit := page(r)
	keys, err := s.Objects.List(r.Context(), prefix, after, limit)
	if err != nil {
		fail(w, err)
		return
	}
	host.WriteJSON(w, http.StatusOK, httpstore.ObjectListing{Keys: keys})
}

func page(r *http.Request) (prefix, after string, limit int) {
	query := r.URL.Query()
	limit, _ = strconv.Atoi(query.Get("limit"))
	return query.Get("prefix"), query.Get("after"), limit
}

func written(w http.ResponseWriter, status int, version store.Version, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", quote(version))
	w.WriteHeader(status)
}

func fail(w http.ResponseWriter, err error) {
	switch {
	case errorx.IsOfType(err, store.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errorx.IsOfType(err, store.ErrExists), errorx.IsOfType(err, store.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errorx.IsOfType(err, store.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		host.ResetConnection(w)
	}
}

func quote(v store.Version) string {
	return `"` + string(v) + `"`
}

func unquote(tag string) (store.Version, bool) {
	if len(tag) < 2 || !strings.HasPrefix(tag, `"`) || !strings.HasSuffix(tag, `"`) {
		return "", false
	}
	return store.Version(tag[1 : len(tag)-1]), true
}
