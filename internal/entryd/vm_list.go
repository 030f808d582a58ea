package entryd

import "github.com/prometheus/client_golang/prometheus"

// maxLoggedEntryBytes bounds the text of an entry in the log.
const maxLoggedEntryBytes = 200

// skippedVM registers a counter and returns the function that logs and counts an entry of
// the list of VMs that can't be used.
func (d *Daemon) skippedVM() func(entry string, err error) {
	skipped := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "poplarshore", Name: "vm_list_skipped_total", Help: "Entries of the list of VMs that could not be used.",
	})
	d.registry.MustRegister(skipped)
	return func(entry string, err error) {
		skipped.Inc()
		d.log.Error("entry of the list of VMs ignored", "entry", entry[:min(len(entry), maxLoggedEntryBytes)], "error", err)
	}
}
