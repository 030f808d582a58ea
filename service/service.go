// Package service describes plain services and which requests to them may be sent
// more than once.
package service

import (
	"path"
	"strings"
)

// CallPattern matches requests by method and path.
type CallPattern struct {
	// Method is compared without regard to case.
	Method string `json:"method"`
	// Path is a pattern in the syntax of path.Match, relative to the root of the
	// service. It is compared with paths as they are on the request line, which are not decoded.
	Path string `json:"path"`
}

// Service is a plain service: one that does not serve a language model.
type Service struct {
	Name string `json:"name"`
	// Idempotent lists the requests that may be sent more than once. Any other
	// request runs at most once.
	Idempotent []CallPattern `json:"idempotent"`
	// KeyHeader is the name of the request header with the caller's idempotency
	// key. Default DefaultKeyHeader.
	KeyHeader string `json:"key_header,omitempty"`
}

// DefaultKeyHeader is the name of the request header with the caller's idempotency
// key for services that don't set KeyHeader.
const DefaultKeyHeader = "Idempotency-Key"

// Repeatable reports whether a request with this method and path may be sent more
// than once. urlPath is relative to the root of the service, and as on the request line.
func (s Service) Repeatable(method, urlPath string) bool {
	for _, c := range s.Idempotent {
		if c.matches(method, urlPath) {
			return true
		}
	}
	return false
}

// IdempotencyHeader returns the name of the request header with the caller's idempotency key.
func (s Service) IdempotencyHeader() string {
	if s.KeyHeader == "" {
		return DefaultKeyHeader
	}
	return s.KeyHeader
}

// matches reports whether a request fits the pattern. An invalid pattern matches
// nothing.
func (c CallPattern) matches(method, urlPath string) bool {
	if !strings.EqualFold(c.Method, method) {
		return false
	}
	ok, err := path.Match(c.Path, urlPath)
	return err == nil && ok
}
