// Package gatewayd builds and runs the gateway of poplarshored: the one process
// on each entry VM of the users' platform. It follows the store's tables,
// serves callers, takes part in roll-outs, and keeps nothing on the VM.
package gatewayd
