// Package metrics provides a Prometheus registry that can list the descriptions of
// all registered metrics, including those that have no value yet.
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

// Registry is a Prometheus registry that records the descriptions of its metrics.
type Registry struct {
	*prometheus.Registry

	mu sync.Mutex
	// descs are the help texts by name.
	descs map[string]string
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{Registry: prometheus.NewRegistry(), descs: make(map[string]string)}
}

// Register implements prometheus.Registerer. Errors: those of prometheus.Registry.
func (r *Registry) Register(c prometheus.Collector) error {
	if err := r.Registry.Register(c); err != nil {
		return err
	}
	r.describe(c)
	return nil
}

// MustRegister implements prometheus.Registerer. It panics where Register returns
// an error.
func (r *Registry) MustRegister(collectors ...prometheus.Collector) {
	r.Registry.MustRegister(collectors...)
	for _, c := range collectors {
		r.describe(c)
	}
}

// descPattern matches the result of prometheus.Desc.String, as a Desc doesn't
// export its name and help text.
var descPattern = regexp.MustCompile(`fqName: "([^"]*)", help: "([^"]*)"`)

// describe records the descriptions of a collector's metrics.
func (r *Registry) describe(c prometheus.Collector) {
	descs := make(chan *prometheus.Desc)
	go func() {
		c.Describe(descs)
		close(descs)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	for d := range descs {
		if match := descPattern.FindStringSubmatch(d.String()); match != nil {
			r.descs[match[1]] = match[2]
		}
	}
}

// Descriptions returns the help text, by name, of each metric whose name has the
// prefix.
func (r *Registry) Descriptions(prefix string) map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	matching := make(map[string]string)
	for name, help := range r.descs {
		if strings.HasPrefix(name, prefix) {
			matching[name] = help
		}
	}
	return matching
}

// Markdown returns a Markdown table of the descriptions, sorted by name.
func Markdown(descriptions map[string]string) string {
	var b strings.Builder
	b.WriteString("| metric | meaning |\n|---|---|\n")
	for _, name := range slices.Sorted(maps.Keys(descriptions)) {
		_, _ = fmt.Fprintf(&b, "| `%s` | %s |\n", name, descriptions[name])
	}
	return b.String()
}
