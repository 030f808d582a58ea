// Package experiment reports the results of simulations that compare
// decision policies with baselines.
//
// Each simulation is a subpackage: a small discrete-event loop driven by a
// seeded random generator. Every policy runs with the same seeds, so that
// differences in the results come from the policies alone. Results are
// summarised over the seeds (Summary), printed as a table (Table) and written
// as JSON (WriteJSON) and SVG (WriteBars, WriteLines).
package experiment
