// Package gatewayd builds and runs the gateway of poplarshored, the only process
// on each entry VM of the users' platform. The gateway watches tables of the
// platform's store, forwards the requests of callers to upstreams and takes part
// in roll-outs. It stores nothing on the VM.
package gatewayd
