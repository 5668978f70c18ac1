package config

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"linkpass/internal/catalog"
	"linkpass/internal/config/restriction"
)

// Apply gives the state after a command, and what the command came to. The old state stays as it is. It never fails: what
// can't be done is a result.
func (s *State) Apply(c Command) (*State, Result) {
	if again, ok := s.sessions[c.Client]; ok && c.Client != "" {
		if c.Seq == again.Seq {
			return s.count(c, again.Result, true), again.Result
		}
		if c.Seq < again.Seq {
			r := Result{Reason: Old, Version: s.version + 1}
			return s.count(c, r, true), r
		}
	}
	next := *s
	r := next.do(c)
	r.Version = s.version + 1
	if r.Reason != Done && c.Kind != Restrict { // a refused order is settled all the same
		next = *s
	}
	return next.count(c, r, false), r
}

// count books a command that came.
func (s *State) count(c Command, r Result, known bool) *State {
	next := *s
	next.version++
	if c.Client == "" || known {
		return &next
	}
	next.sessions = maps.Clone(s.sessions)
	next.sessions[c.Client] = session{c.Seq, r, next.version}
	if len(next.sessions) > MaxClients {
		oldest, at := "", uint64(math.MaxUint64)
		for client, v := range next.sessions { // versions differ: the choice is the same everywhere
			if v.At < at {
				oldest, at = client, v.At
			}
		}
		delete(next.sessions, oldest)
	}
	return &next
}

func refuse(why Reason, format string, args ...any) Result {
	return Result{Reason: why, Detail: fmt.Sprintf(format, args...)}
}

// do changes the state, which is the caller's own but for its maps.
func (s *State) do(c Command) Result {
	if len(c.Client) > MaxName || len(c.Server) > MaxName {
		return refuse(Malformed, "a name has %d bytes at most", MaxName)
	}
	if s.revised == 0 && c.Kind != Document {
		// Instances may differ in what their files say: only a document makes them alike.
		return refuse(Unfounded, "command %d", c.Kind)
	}
	switch c.Kind {
	case AddServer, ChangeServer:
		return s.specify(c)
	case SetWeight:
		return s.weigh(c)
	case Restrict:
		return s.restrict(c)
	case Undrain:
		return s.undrain(c)
	case Patch, Document:
		return s.set(c)
	case Layout:
		return s.advance(c)
	case SetPeer, DropPeer:
		return s.peer(c)
	}
	return refuse(Malformed, "command %d", c.Kind)
}

// read finds a server that a command names, and checks the version that it was made on.
func (s *State) read(c Command) (Server, Result) {
	now, ok := s.servers[c.Server]
	switch {
	case c.Server == "":
		return now, refuse(Malformed, "no server is named")
	case s.gone[c.Server]:
		return now, refuse(WasGone, "%s", c.Server)
	case c.If != 0 && (!ok || c.If != now.Version):
		return now, refuse(Conflict, "%s is at version %d, the command was made on %d", c.Server, now.Version, c.If)
	case !ok && len(s.servers) >= MaxServers:
		return now, refuse(Full, "%d servers", MaxServers)
	}
	return now, Result{}
}

func (s *State) put(id string, v Server) {
	v.Version = s.version + 1
	s.servers = maps.Clone(s.servers)
	s.servers[id] = v
}

func (s *State) specify(c Command) Result {
	now, r := s.read(c)
	switch {
	case r.Reason != Done:
		return r
	case c.Spec == nil || c.Spec.Addr == "" || c.Spec.Cell < 0:
		return refuse(Malformed, "%s needs an address and a cell", c.Server)
	case c.Kind == AddServer && now.Spec != nil:
		return refuse(There, "%s", c.Server)
	case c.Kind == ChangeServer && now.Spec == nil:
		return refuse(Unknown, "%s", c.Server)
	}
	now.Spec = c.Spec
	s.put(c.Server, now)
	return Result{}
}

func (s *State) weigh(c Command) Result {
	now, r := s.read(c)
	if r.Reason != Done {
		return r
	}
	if math.IsNaN(c.Weight) || math.IsInf(c.Weight, 0) || c.Weight < 0 {
		return refuse(Malformed, "weight %v", c.Weight)
	}
	now.Weight = c.Weight
	s.put(c.Server, now)
	return Result{}
}

// restrict decides an order: it is taken, or withdrawn and said. It is settled either way.
func (s *State) restrict(c Command) Result {
	o := c.Order
	if o == nil || o.Server == "" || len(o.Server) > MaxName || o.ID.Seq == 0 || o.Level == restriction.None || o.Level > restriction.Removed {
		return refuse(Malformed, "an order needs an id, a server and a kind")
	}
	if s.settled.Contains(o.ID) {
		return refuse(Decided, "%s", o.ID)
	}
	s.settled = s.settled.With(o.ID)
	r := s.take(*o)
	if r.Reason != Done {
		s.withdraw(*o, r.Reason)
	}
	return r
}

func (s *State) take(o restriction.Request) Result {
	now, known := s.servers[o.Server]
	if s.gone[o.Server] {
		if o.Level == restriction.Removed {
			return Result{} // it is gone, as was asked
		}
		return refuse(WasGone, "%s", o.Server)
	}
	if !known && len(s.servers) >= MaxServers || o.Level == restriction.Removed && len(s.gone) >= MaxGone {
		return refuse(Full, "%d servers, %d removed ids", len(s.servers), len(s.gone))
	}
	bare := s.bareWithout(o.Server)
	told := bare[:min(len(bare), MaxBareTold)]
	if len(bare) > 0 && !o.Force {
		r := refuse(Bare, "%d slices, %s among them", len(bare), bare[0])
		r.Bare = told
		return r
	}
	if o.Level == restriction.Removed {
		s.servers, s.gone = maps.Clone(s.servers), maps.Clone(s.gone)
		delete(s.servers, o.Server)
		s.gone[o.Server] = true
		return Result{Bare: told}
	}
	now.Hold = max(now.Hold, o.Level)
	s.put(o.Server, now)
	return Result{Bare: told}
}

func (s *State) withdraw(o restriction.Request, why Reason) {
	s.withdrawn = append(slices.Clone(s.withdrawn), Withdrawn{o, why, s.version + 1})
	if over := len(s.withdrawn) - MaxWithdrawn; over > 0 {
		s.withdrawn = s.withdrawn[over:]
	}
}

// undrain brings a server back, and withdraws the orders that were in sight when it was asked for.
func (s *State) undrain(c Command) Result {
	now, r := s.read(c)
	if r.Reason != Done {
		return r
	}
	if len(c.Names) > restriction.MaxPending {
		return refuse(Malformed, "%d orders are named, %d at most", len(c.Names), restriction.MaxPending)
	}
	for _, id := range c.Names {
		if !s.settled.Contains(id) {
			s.settled = s.settled.With(id)
			s.withdraw(restriction.Request{ID: id, Server: c.Server, Level: restriction.Draining}, "undrained")
		}
	}
	if now.Hold == restriction.None {
		return Result{}
	}
	now.Hold = restriction.None
	s.put(c.Server, now)
	return Result{}
}

// peer notes an instance's address, or forgets it.
func (s *State) peer(c Command) Result {
	_, known := s.peers[c.Server]
	if c.Server == "" || c.Kind == SetPeer && (len(c.Text) == 0 || len(c.Text) > MaxName) {
		return refuse(Malformed, "an instance needs an id and an address")
	}
	if c.Kind == SetPeer && !known && len(s.peers) >= MaxPeers {
		return refuse(Full, "%d instances", MaxPeers)
	}
	s.peers = maps.Clone(s.peers)
	if delete(s.peers, c.Server); c.Kind == SetPeer {
		s.peers[c.Server] = string(c.Text)
	}
	return Result{}
}

// set changes the settings.
func (s *State) set(c Command) Result {
	if c.If != 0 && c.If != s.revised {
		return refuse(Conflict, "the settings are at version %d, the command was made on %d", s.revised, c.If)
	}
	next, err := s.settings.Patch(c.Text)
	if c.Kind == Document {
		next, err = catalog.ParseAfter(c.Text, s.settings)
	}
	if err == nil && s.revised != 0 {
		err = next.Follows(s.settings)
	}
	if err != nil {
		return refuse(Malformed, "%s", err)
	}
	return s.revise(next)
}

func (s *State) revise(next *catalog.Catalog) Result {
	c := *next
	if c.Revision = 1; s.revised != 0 {
		c.Revision = s.settings.Revision + 1
	}
	s.settings, s.revised = &c, s.version+1
	return Result{}
}

// advance takes a step of a layout. Layouts check for themselves what version a step was made on.
func (s *State) advance(c Command) Result {
	l := s.settings.Layout(c.Index)
	if l == nil || c.Advance == nil {
		return refuse(Malformed, "index %q has no layout, or no step is given", c.Index)
	}
	next, err := l.Apply(*c.Advance)
	if err != nil {
		return refuse(Conflict, "%s", err)
	}
	if next == l {
		return Result{}
	}
	return s.revise(s.settings.WithLayout(c.Index, next))
}

// bareWithout names the slices that would have no holder in service if a server were restricted, and have one now: slices
// of layouts by their holders, cells by the servers that were added. What only discovery knows of a cell is not seen here.
func (s *State) bareWithout(server string) (bare []string) {
	serves := func(id string) bool { return id != server && s.Restriction(id) == restriction.None }
	if s.Restriction(server) != restriction.None {
		return nil // nothing changes for slices
	}
	for _, index := range slices.Sorted(maps.Keys(s.settings.Indices)) {
		l := s.settings.Layout(index)
		if l == nil {
			continue
		}
		for _, slice := range l.Slices() {
			if slices.Contains(slice.Holders, server) && !slices.ContainsFunc(slice.Holders, serves) {
				bare = append(bare, fmt.Sprintf("%s/%d", index, slice.ID))
			}
		}
	}
	if me := s.servers[server].Spec; me != nil {
		others := false
		for id, v := range s.servers {
			others = others || v.Spec != nil && v.Spec.Cell == me.Cell && serves(id)
		}
		if !others {
			bare = append(bare, fmt.Sprintf("cell %d", me.Cell))
		}
	}
	return bare
}
