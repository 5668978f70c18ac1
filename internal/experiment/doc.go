// Package experiment runs whole coordinators on an emulated fleet, under load and faults that are drawn from a
// seed. An experiment compares runs side by side; its result is a table, a chart and a line of figures.
//
// A world owns its fleet and coordinators, and world.close ends both and waits for the coordinators. A run owns the
// goroutines of its queries and of its disruption, and waits for them before it closes its world.
package experiment
