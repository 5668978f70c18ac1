//go:build review2

// Command review-2 plays the cases of the second review: it starts coordinators as processes, and takes the place of
// their clients, their league servers, discovery and the network between them. All of it is on loopback addresses.
//
//	review-2 CASE FOLDER
//
// It writes what was sent, answered and run to record.txt in the folder. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main
