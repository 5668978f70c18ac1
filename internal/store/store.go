// Package store replicates the catalog among a few instances.
package store
