//go:build review

package main

import "fmt"

// fleet is a set of league servers with the plain protocol: three in each cell.
type fleet struct {
	servers []*league
	entries []instance
}

const perCell = 3

func (r *run) newFleet(cells int) (*fleet, error) {
	f := &fleet{}
	for i := range cells * perCell {
		s, err := r.newLeague(fmt.Sprintf("s-%02d", i+1))
		if err != nil {
			return nil, err
		}
		f.servers = append(f.servers, s)
		f.entries = append(f.entries, entryOf(s, i/perCell))
	}
	return f, nil
}

func entryOf(s *league, cell int) instance {
	return instance{ID: s.name, Addr: s.addr(), Zone: "ebene", Kind: "std-2core", Cell: cell, State: "in_service", Weight: 1}
}
