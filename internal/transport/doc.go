// Package transport holds the connection of the core to each listed server: it follows the endpoint list, selects the
// protocol that a server speaks, and passes attempts and health checks on to a Transport that speaks it.
//
// It does not know how a protocol looks; the constructors of transports are passed to it. It starts no goroutine of
// its own: each transport owns its goroutines, and Set.Close ends all transports and waits for them.
package transport
