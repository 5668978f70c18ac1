package config

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
)

// Apply gives the state after a command, and what the command came to. The old state stays as it is. It never fails: what
// can't be done is a result.
func (s *State) Apply(c Command) (*State, Result) {
	if again, ok := s.sessions[c.ClientID]; ok && c.ClientID != "" {
		if c.Seq == again.Seq {
			return s.count(c, again.Result, true), again.Result
		}
		if c.Seq < again.Seq {
			r := Result{Reason: StaleSequence, Version: s.version + 1}
			return s.count(c, r, true), r
		}
	}
	next := *s
	r := next.do(c)
	r.Version = s.version + 1
	if r.Reason != Applied && c.Kind != RestrictServer { // a refused order is settled all the same
		next = *s
	}
	return next.count(c, r, false), r
}

// count books a command that came.
func (s *State) count(c Command, r Result, known bool) *State {
	next := *s
	next.version++
	if c.ClientID == "" || known {
		return &next
	}
	next.sessions = maps.Clone(s.sessions)
	next.sessions[c.ClientID] = clientSession{c.Seq, r, next.version}
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
	if len(c.ClientID) > MaxNameBytes || len(c.Server) > MaxNameBytes {
		return refuse(Invalid, "a name has %d bytes at most", MaxNameBytes)
	}
	if s.settingsVersion == 0 && c.Kind != ReplaceSettings {
		// Instances may differ in what their files say: only a document makes them alike.
		return refuse(NotInitialized, "command %d", c.Kind)
	}
	switch c.Kind {
	case AddServer, UpdateServer:
		return s.specify(c)
	case SetServerWeight:
		return s.weigh(c)
	case RestrictServer:
		return s.restrict(c)
	case UndrainServer:
		return s.undrain(c)
	case PatchSettings, ReplaceSettings:
		return s.set(c)
	case AdvanceShardMap:
		return s.advance(c)
	case SetMemberAddress, RemoveMemberAddress:
		return s.peer(c)
	}
	return refuse(Invalid, "command %d", c.Kind)
}

// read finds a server that a command names, and checks the version that it was made on.
func (s *State) read(c Command) (Server, Result) {
	now, ok := s.servers[c.Server]
	switch {
	case c.Server == "":
		return now, refuse(Invalid, "no server is named")
	case s.removed[c.Server]:
		return now, refuse(ServerIDRetired, "%s", c.Server)
	case c.ExpectedVersion != 0 && (!ok || c.ExpectedVersion != now.Version):
		return now, refuse(Conflict, "%s is at version %d, the command was made on %d", c.Server, now.Version, c.ExpectedVersion)
	case !ok && len(s.servers) >= MaxServers:
		return now, refuse(LimitExceeded, "%d servers", MaxServers)
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
	case r.Reason != Applied:
		return r
	case c.Spec == nil || c.Spec.Addr == "" || c.Spec.Cell < 0:
		return refuse(Invalid, "%s needs an address and a cell", c.Server)
	case c.Kind == AddServer && now.Spec != nil:
		return refuse(ServerExists, "%s", c.Server)
	case c.Kind == UpdateServer && now.Spec == nil:
		return refuse(ServerNotFound, "%s", c.Server)
	}
	now.Spec = c.Spec
	s.put(c.Server, now)
	return Result{}
}

func (s *State) weigh(c Command) Result {
	now, r := s.read(c)
	if r.Reason != Applied {
		return r
	}
	if math.IsNaN(c.Weight) || math.IsInf(c.Weight, 0) || c.Weight < 0 {
		return refuse(Invalid, "weight %v", c.Weight)
	}
	now.Weight = c.Weight
	s.put(c.Server, now)
	return Result{}
}

// restrict decides an order: it is taken, or withdrawn and said. It is settled either way.
func (s *State) restrict(c Command) Result {
	o := c.Restriction
	if o == nil || o.Server == "" || len(o.Server) > MaxNameBytes || o.ID.Seq == 0 || o.Level == restriction.None || o.Level > restriction.Removed {
		return refuse(Invalid, "an order needs an id, a server and a kind")
	}
	if s.settled.Contains(o.ID) {
		return refuse(AlreadySettled, "%s", o.ID)
	}
	s.settled = s.settled.With(o.ID)
	r := s.take(*o)
	if r.Reason != Applied {
		s.withdraw(*o, r.Reason)
	}
	return r
}

func (s *State) take(o restriction.Request) Result {
	now, known := s.servers[o.Server]
	if s.removed[o.Server] {
		if o.Level == restriction.Removed {
			return Result{} // it is gone, as was asked
		}
		return refuse(ServerIDRetired, "%s", o.Server)
	}
	if !known && len(s.servers) >= MaxServers || o.Level == restriction.Removed && len(s.removed) >= MaxRemovedIDs {
		return refuse(LimitExceeded, "%d servers, %d removed ids", len(s.servers), len(s.removed))
	}
	bare := s.bareWithout(o.Server)
	told := bare[:min(len(bare), MaxReportedShards)]
	if len(bare) > 0 && !o.Force {
		r := refuse(NoReplicaLeft, "%d slices, %s among them", len(bare), bare[0])
		r.UncoveredShards = told
		return r
	}
	if o.Level == restriction.Removed {
		s.servers, s.removed = maps.Clone(s.servers), maps.Clone(s.removed)
		delete(s.servers, o.Server)
		s.removed[o.Server] = true
		return Result{UncoveredShards: told}
	}
	now.Restriction = max(now.Restriction, o.Level)
	s.put(o.Server, now)
	return Result{UncoveredShards: told}
}

func (s *State) withdraw(o restriction.Request, why Reason) {
	s.rejected = append(slices.Clone(s.rejected), RejectedRestriction{o, why, s.version + 1})
	if over := len(s.rejected) - MaxRejectedRestrictions; over > 0 {
		s.rejected = s.rejected[over:]
	}
}

// undrain brings a server back, and withdraws the orders that were in sight when it was asked for.
func (s *State) undrain(c Command) Result {
	now, r := s.read(c)
	if r.Reason != Applied {
		return r
	}
	if len(c.WithdrawnIDs) > restriction.MaxPending {
		return refuse(Invalid, "%d orders are named, %d at most", len(c.WithdrawnIDs), restriction.MaxPending)
	}
	for _, id := range c.WithdrawnIDs {
		if !s.settled.Contains(id) {
			s.settled = s.settled.With(id)
			s.withdraw(restriction.Request{ID: id, Server: c.Server, Level: restriction.Draining}, "undrained")
		}
	}
	if now.Restriction == restriction.None {
		return Result{}
	}
	now.Restriction = restriction.None
	s.put(c.Server, now)
	return Result{}
}

// peer notes an instance's address, or forgets it.
func (s *State) peer(c Command) Result {
	_, known := s.memberAddresses[c.Server]
	if c.Server == "" || c.Kind == SetMemberAddress && (len(c.Payload) == 0 || len(c.Payload) > MaxNameBytes) {
		return refuse(Invalid, "an instance needs an id and an address")
	}
	if c.Kind == SetMemberAddress && !known && len(s.memberAddresses) >= MaxMemberAddresses {
		return refuse(LimitExceeded, "%d instances", MaxMemberAddresses)
	}
	s.memberAddresses = maps.Clone(s.memberAddresses)
	if delete(s.memberAddresses, c.Server); c.Kind == SetMemberAddress {
		s.memberAddresses[c.Server] = string(c.Payload)
	}
	return Result{}
}

// set changes the settings.
func (s *State) set(c Command) Result {
	if c.ExpectedVersion != 0 && c.ExpectedVersion != s.settingsVersion {
		return refuse(Conflict, "the settings are at version %d, the command was made on %d", s.settingsVersion, c.ExpectedVersion)
	}
	next, err := s.settings.Patch(c.Payload)
	if c.Kind == ReplaceSettings {
		next, err = searchconfig.ParseUpdate(c.Payload, s.settings)
	}
	if err == nil && s.settingsVersion != 0 {
		err = next.ValidateTransition(s.settings)
	}
	if err != nil {
		return refuse(Invalid, "%s", err)
	}
	return s.revise(next)
}

func (s *State) revise(next *searchconfig.Config) Result {
	c := *next
	if c.Revision = 1; s.settingsVersion != 0 {
		c.Revision = s.settings.Revision + 1
	}
	s.settings, s.settingsVersion = &c, s.version+1
	return Result{}
}

// advance takes a step of a layout. Layouts check for themselves what version a step was made on.
func (s *State) advance(c Command) Result {
	l := s.settings.ShardMap(c.Index)
	if l == nil || c.ShardMapCommand == nil {
		return refuse(Invalid, "index %q has no layout, or no step is given", c.Index)
	}
	next, err := l.Apply(*c.ShardMapCommand)
	if err != nil {
		return refuse(Conflict, "%s", err)
	}
	if next == l {
		return Result{}
	}
	return s.revise(s.settings.WithShardMap(c.Index, next))
}

// bareWithout names the slices that would have no holder in service if a server were restricted, and have one now: slices
// of layouts by their holders, cells by the servers that were added. What only discovery knows of a cell is not seen here.
func (s *State) bareWithout(server string) (bare []string) {
	serves := func(id string) bool { return id != server && s.Restriction(id) == restriction.None }
	if s.Restriction(server) != restriction.None {
		return nil // nothing changes for slices
	}
	for _, index := range slices.Sorted(maps.Keys(s.settings.Indices)) {
		l := s.settings.ShardMap(index)
		if l == nil {
			continue
		}
		for _, slice := range l.Shards() {
			if slices.Contains(slice.Replicas, server) && !slices.ContainsFunc(slice.Replicas, serves) {
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
