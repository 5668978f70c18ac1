// Package outcome lists the ways in which an attempt, a health check or its connection can end, and maps each to the
// code that the router uses.
package outcome
