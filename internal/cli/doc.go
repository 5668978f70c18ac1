// Package cli implements linkpass's command line. Most commands call the admin API of a running coordinator; a few work
// on the files of a stopped one. Each file has one command or a group of commands. A command's Run method prints a
// table or JSON.
//
// The package starts no goroutine.
package cli
