// Package routing holds the configuration of a gateway: which host and path
// lead to which services, which client accounts may call, and what each route
// promises its callers.
//
// A Config is what the operators accepted, a Table the same compiled for
// lookups. Both never change once made; a new configuration is a new Table.
package routing
