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
		writeStoreError(w, err)
		return
	}
	w.Header().Set("ETag", formatETag(row.Version))
	_, _ = w.Write(row.Value)
}

func (s *Server) putRow(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get("If-None-Match") == "*" {
		version, err := s.Table.Insert(r.Context(), r.PathValue("key"), value)
		writeVersion(w, http.StatusCreated, version, err)
		return
	}
	expected, ok := parseETag(r.Header.Get("If-Match"))
	if !ok {
		http.Error(w, "a condition is required", http.StatusBadRequest)
		return
	}
	version, err := s.Table.Update(r.Context(), r.PathValue("key"), value, expected)
	writeVersion(w, http.StatusOK, version, err)
}

func (s *Server) deleteRow(w http.ResponseWriter, r *http.Request) {
	expected, ok := parseETag(r.Header.Get("If-Match"))
	if !ok {
		http.Error(w, "a condition is required", http.StatusBadRequest)
		return
	}
	if err := s.Table.Delete(r.Context(), r.PathValue("key"), expected); err != nil {
		writeStoreError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) scanRows(w http.ResponseWriter, r *http.Request) {
	prefix, after, limit := pageParameters(r)
	rows, err := s.Table.Scan(r.Context(), prefix, after, limit)
	if err != nil {
		writeStoreError(w, err)
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
		writeStoreError(w, err)
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
		writeStoreError(w, err)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	if err := s.Objects.Delete(r.Context(), r.PathValue("key")); err != nil {
		writeStoreError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	prefix, after, limit := pageParameters(r)
	keys, err := s.Objects.List(r.Context(), prefix, after, limit)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	host.WriteJSON(w, http.StatusOK, httpstore.ObjectListing{Keys: keys})
}

// pageParameters returns the query parameters of a listing. A limit that is missing or
// malformed is 0.
func pageParameters(r *http.Request) (prefix, after string, limit int) {
	query := r.URL.Query()
	limit, _ = strconv.Atoi(query.Get("limit"))
	return query.Get("prefix"), query.Get("after"), limit
}

// writeVersion responds to a write of a row with its new version as the ETag, or with the
// error.
func writeVersion(w http.ResponseWriter, status int, version store.Version, err error) {
	if err != nil {
		writeStoreError(w, err)
		return
	}
	w.Header().Set("ETag", formatETag(version))
	w.WriteHeader(status)
}

// writeStoreError responds with the status of a store error. For an unknown outcome and
// other errors it resets the connection, so that the client can't tell the outcome either.
func writeStoreError(w http.ResponseWriter, err error) {
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

// formatETag returns the entity tag of a row version.
func formatETag(v store.Version) string {
	return `"` + string(v) + `"`
}

// parseETag returns the row version of an entity tag, and false if the tag isn't quoted.
func parseETag(tag string) (store.Version, bool) {
	if len(tag) < 2 || !strings.HasPrefix(tag, `"`) || !strings.HasSuffix(tag, `"`) {
		return "", false
	}
	return store.Version(tag[1 : len(tag)-1]), true
}
