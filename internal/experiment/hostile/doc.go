// Package hostile implements clients that misuse a coordinator: they flood it with requests, hold requests back half
// way, send more than they read, or leave.
//
// An Attack describes what one client does on one connection after another. Run runs an attack on many connections at a
// time. What the clients send depends on the seed and the number of the connection alone. The package judges nothing:
// whether the coordinator keeps its limits and serves its other clients is measured elsewhere.
package hostile
