package routing

import (
	"cmp"
	"crypto/sha256"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/poplarshore/poplarshore/account"
)

// Table is a configuration compiled for lookups. It is safe for concurrent use.
type Table struct {
	config Config
	// byHost maps lower-case host names to their prefixes, the longest first.
	byHost map[string][]prefix
	// byKey maps the SHA-256 hash of a key to its account.
	byKey    map[[sha256.Size]byte]*Account
	services map[string]*Service
}

// prefix is a route's prefix as it is on a request line.
type prefix struct {
	text  string
	route *Route
}

// prefixes returns the forms in which a target can have the route's prefix. A prefix with bytes that have to
// be encoded in targets has three: as it is, and encoded with digits of either case.
func prefixes(r *Route) []prefix {
	forms := []prefix{{r.Prefix, r}}
	encoded := (&url.URL{Path: r.Prefix}).EscapedPath()
	if strings.Contains(r.Prefix, "%") || encoded == r.Prefix {
		return forms
	}
	lower := encodings.ReplaceAllStringFunc(encoded, strings.ToLower)
	return append(forms, prefix{encoded, r}, prefix{lower, r})
}

// encodings matches percent-encoded bytes.
var encodings = regexp.MustCompile("%[0-9A-F]{2}")

// Compile builds the table of a configuration.
func Compile(c Config) *Table {
	t := &Table{
		config:   c,
		byHost:   make(map[string][]prefix),
		byKey:    make(map[[sha256.Size]byte]*Account),
		services: make(map[string]*Service),
	}
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], prefixes(r)...)
	}
	for _, forms := range t.byHost {
		slices.SortStableFunc(forms, func(a, b prefix) int { return cmp.Compare(len(b.route.Prefix), len(a.route.Prefix)) })
	}
	for i := range t.config.Accounts {
		a := &t.config.Accounts[i]
		for _, key := range a.Keys {
			t.byKey[sha256.Sum256([]byte(key))] = a
		}
	}
	for i := range t.config.Services {
		s := &t.config.Services[i]
		t.services[s.Name] = s
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() int64 { return t.config.Version }

// KeysRequired reports whether routes that are not public require a key.
func (t *Table) KeysRequired() bool { return t.config.KeysRequired }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Match returns the route of the host with the longest prefix of the path, or nil
// if there is none. The path is that of the request line, compared byte by byte and not decoded. A port in
// host is ignored.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, p := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, p.text) {
			return p.route
		}
	}
	return nil
}

// Account returns the client account with the given key, or nil if the key is
// empty or unknown.
func (t *Table) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return t.byKey[sha256.Sum256([]byte(key))]
}

// Counterpart returns the route of this table that stands for a route of another one: that with
// the same name, host and prefix, or else the first one with the same name; nil if there is
// none.
func (t *Table) Counterpart(of *Route) *Route {
	var sameName *Route
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		if r.Name != of.Name {
			continue
		}
		if r.Host == of.Host && r.Prefix == of.Prefix {
			return r
		}
		if sameName == nil {
			sameName = r
		}
	}
	return sameName
}

// AccountByID returns the client account with an ID, or nil.
func (t *Table) AccountByID(id account.ID) *Account {
	for i := range t.config.Accounts {
		if t.config.Accounts[i].ID == id {
			return &t.config.Accounts[i]
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the name of a service, chosen at random with a probability in
// proportion to its weight. draw is a random number, uniform in [0, 1). Without
// targets it returns "".
func (r *Route) Pick(draw float64) string {
	sum := 0.0
	for _, target := range r.Targets {
		sum += target.Weight
	}
	draw *= sum
	for _, target := range r.Targets {
		if draw -= target.Weight; draw < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
