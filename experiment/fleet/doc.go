// Package fleet provides the simulation parts that several experiments share: a
// discrete-event loop in virtual time, model engines, and random request sizes.
package fleet
