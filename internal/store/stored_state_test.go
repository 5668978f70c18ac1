package store

import (
	"encoding/json"
	"fmt"
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/searchconfig"
)

// storedState is the state of an opened store. Its JSON keys are those of the golden files.
type storedState struct {
	Version         uint64                       `json:"version"`
	SettingsVersion uint64                       `json:"revised"`
	Hash            string                       `json:"hash"`
	Servers         map[string]config.Server     `json:"servers"`
	Restrictions    map[string]string            `json:"agreed"` // by server, including removed ones
	RemovedIDs      []string                     `json:"gone"`
	Settled         []string                     `json:"settled"`
	Rejected        []config.RejectedRestriction `json:"withdrawn"`
	MemberAddresses map[string]string            `json:"peers"`
	Members         []string                     `json:"members"`
	MaxResultWindow int                          `json:"window"`
	Timeout         string                       `json:"timeout"`
	AllowPartial    bool                         `json:"allow_partial"`
	Protocols       map[string]string            `json:"protocols"`
	Settings        *searchconfig.Config         `json:"settings"`
	Snapshot        string                       `json:"snapshot"`
}

// Numbers of the ids of members and servers that the fixtures may contain: n0 to n4, s-0 to s-9.
const (
	storedMemberCount = 5
	storedServerCount = 10
)

// readState reads the state of an opened store with its accessors.
func readState(t *testing.T, s *Store) storedState {
	t.Helper()
	state := s.State()
	hash, err := state.Hash()
	if err != nil {
		t.Fatal(err)
	}
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	requireRestored(t, data)
	settings := state.Settings()
	return storedState{
		Version:         state.Version(),
		SettingsVersion: state.SettingsVersion(),
		Hash:            hash,
		Servers:         readServers(state),
		Restrictions:    readRestrictions(state),
		RemovedIDs:      state.RemovedIDs(),
		Settled:         readSettled(state),
		Rejected:        state.RejectedRestrictions(),
		MemberAddresses: readMemberAddresses(state),
		Members:         readMembers(t, s),
		MaxResultWindow: settings.MaxResultWindow(),
		Timeout:         settings.Timeout().String(),
		AllowPartial:    settings.AllowPartial(),
		Protocols:       readProtocols(settings),
		Settings:        settings,
		Snapshot:        diagnosticNotation(t, data),
	}
}

func readServers(state *config.State) map[string]config.Server {
	out := map[string]config.Server{}
	for _, id := range state.ServerIDs() {
		out[id], _ = state.Server(id)
	}
	return out
}

func readRestrictions(state *config.State) map[string]string {
	out := map[string]string{}
	for _, id := range append(state.ServerIDs(), state.RemovedIDs()...) {
		out[id] = state.Restriction(id).String()
	}
	return out
}

func readSettled(state *config.State) []string {
	var out []string
	for _, interval := range state.Settled().Intervals() {
		origin := interval.Origin
		out = append(out, fmt.Sprint(
			origin.Instance, " boot ", origin.Incarnation, " up to ", interval.UpTo, " and ", interval.Above))
	}
	return out
}

func readMemberAddresses(state *config.State) map[string]string {
	out := map[string]string{}
	for i := range storedMemberCount {
		id := fmt.Sprint("n", i)
		if address, ok := state.MemberAddress(id); ok {
			out[id] = address
		}
	}
	return out
}

func readMembers(t *testing.T, s *Store) []string {
	t.Helper()
	statuses, err := s.MemberStatuses()
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, m := range statuses {
		out = append(out, fmt.Sprint(m.ID, " at ", m.Raft, " and ", m.HTTP, ", voter: ", m.Voter))
	}
	return out
}

func readProtocols(settings *searchconfig.Config) map[string]string {
	out := map[string]string{}
	for i := range storedServerCount {
		id := fmt.Sprint("s-", i)
		out[id] = settings.Protocol(id)
	}
	return out
}

func indentedJSON(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}
