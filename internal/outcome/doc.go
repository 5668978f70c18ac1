// Package outcome names every way in which an attempt, a health check or its connection can end, and maps each to the
// code by which the router knows it.
package outcome
