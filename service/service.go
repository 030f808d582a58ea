// Package service describes plain services and which of their calls may be repeated.
package service

import (
	"path"
	"strings"
)

// Call matches requests by method and path.
type Call struct {
	Method string `json:"method"`
	// Path is a pattern in the syntax of path.Match, below the service's root.
	Path string `json:"path"`
}

// Service is a plain service.
type Service struct {
	Name string `json:"name"`
	// Idempotent lists the calls that may be repeated. Every other call runs
	// at most once.
	Idempotent []Call `json:"idempotent"`
	// KeyHeader is the request header that carries the caller's idempotency
	// key. Default "Idempotency-Key".
	KeyHeader string `json:"key_header,omitempty"`
}

// DefaultKeyHeader carries the caller's idempotency key.
const DefaultKeyHeader = "Idempotency-Key"

// Repeatable tells whether the call may be sent more than once.
func (s Service) Repeatable(method, urlPath string) bool {
	for _, c := range s.Idempotent {
		if c.matches(method, urlPath) {
			return true
		}
	}
	return false
}

// Key returns the name of the header with the idempotency key.
func (s Service) Key() string {
	if s.KeyHeader == "" {
		return DefaultKeyHeader
	}
	return s.KeyHeader
}

func (c Call) matches(method, urlPath string) bool {
	if !strings.EqualFold(c.Method, method) {
		return false
	}
	ok, err := path.Match(c.Path, urlPath)
	return err == nil && ok
}
