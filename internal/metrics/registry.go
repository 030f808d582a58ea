// Package metrics keeps a registry of metrics that can list what it holds, also
// metrics without a value yet.
package metrics

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Registry is a Prometheus registry that remembers its descriptions.
type Registry struct {
	*prometheus.Registry

	mu    sync.Mutex
	descs map[string]string
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{Registry: prometheus.NewRegistry(), descs: make(map[string]string)}
}

// Register implements prometheus.Registerer.
func (r *Registry) Register(c prometheus.Collector) error {
	if err := r.Registry.Register(c); err != nil {
		return err
	}
	r.describe(c)
	return nil
}

// MustRegister implements prometheus.Registerer.
func (r *Registry) MustRegister(collectors ...prometheus.Collector) {
	r.Registry.MustRegister(collectors...)
	for _, c := range collectors {
		r.describe(c)
	}
}

// descPattern reads the text form of a prometheus.Desc.
var descPattern = regexp.MustCompile(`fqName: "([^"]*)", help: "([^"]*)"`)

func (r *Registry) describe(c prometheus.Collector) {
	descs := make(chan *prometheus.Desc)
	go func() {
		c.Describe(descs)
		close(descs)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	for d := range descs {
		if found := descPattern.FindStringSubmatch(d.String()); found != nil {
			r.descs[found[1]] = found[2]
		}
	}
}

// Descriptions returns the help of each metric whose name has the prefix.
func (r *Registry) Descriptions(prefix string) map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]string)
	for name, help := range r.descs {
		if strings.HasPrefix(name, prefix) {
			out[name] = help
		}
	}
	return out
}

// Markdown returns a table of descriptions by name.
func Markdown(descriptions map[string]string) string {
	var b strings.Builder
	b.WriteString("| metric | meaning |\n|---|---|\n")
	for _, name := range slices.Sorted(maps.Keys(descriptions)) {
		_, _ = fmt.Fprintf(&b, "| `%s` | %s |\n", name, descriptions[name])
	}
	return b.String()
}
