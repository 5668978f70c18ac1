// Package membudget bounds the memory that clients can make the process hold.
//
// One Budget is shared by all listeners. Each connection has an Account with a fixed part, which pays for the connection
// itself and for small requests, and grows it as bytes of larger requests arrive. When the budget is exhausted, an
// account that has to grow waits a moment for others to end, and requests that arrive slowest for the memory that they
// hold are shed to make room. The package decides who has to go; the owner of the connection closes it.
package membudget
