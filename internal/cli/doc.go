// Package cli is linkpass's command line: it calls a running coordinator's admin API, and works on the files of a stopped
// one. A file a command or a group of them; a command's Run prints a table or JSON.
//
// The package starts no goroutine.
package cli
