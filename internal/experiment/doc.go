// Package experiment runs complete coordinators on an emulated fleet, under load and faults that are drawn from a seed.
// An experiment compares several runs. Its results are a table, in some experiments a chart, and a line of figures on
// standard output. It also checks rules, such as that no query is lost and no answer is falsely complete.
//
// A world is a fleet with its coordinators, all in this process. The world owns them: world.close stops both and waits
// for the coordinators. A run owns the goroutines of its queries and of its disruption, and waits for them before it
// closes its world.
package experiment
