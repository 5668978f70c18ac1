// Package transport manages one Transport for each listed server. A Set follows the endpoint list, selects the
// protocol that a server speaks, and passes attempts and health checks to the server's Transport for that protocol.
//
// The package implements no protocol; its caller passes in the constructors of the transports. It starts no goroutine
// of its own: each transport owns its goroutines, and Set.Close stops all transports and waits for them.
package transport
