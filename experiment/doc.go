// Package experiment measures decision policies against baselines in small
// seeded discrete-event loops.
//
// Each experiment runs every policy on the same seeds, so that differences
// come from the policies. Results are summarised over the seeds (Summary),
// printed as a table (Table) and written as JSON (WriteJSON) and SVG (WriteBars,
// WriteLines).
package experiment
