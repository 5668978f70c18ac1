package discovery

import (
	"errors"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

// The error of an endpoint that can't be used has its values in fields, and its text is written to the log.
func TestConvertRejectsInvalidEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		endpoint Endpoint
		text     string
	}{
		"state":  {Endpoint{ID: "s-1", Addr: "127.0.0.1:9", State: "asleep"}, `discovery: unusable server "s-1" state "asleep" cell 0`},
		"id":     {Endpoint{Addr: "127.0.0.1:9", State: StateInService}, `discovery: unusable server "" state "in_service" cell 0`},
		"cell":   {Endpoint{ID: "s-1", Addr: "127.0.0.1:9", State: StateInService, Cell: 6}, `discovery: unusable server "s-1" state "in_service" cell 6`},
		"weight": {Endpoint{ID: "s-1", Addr: "127.0.0.1:9", State: StateTerminating, Weight: -1}, `discovery: unusable server "s-1" state "terminating" cell 0`},
		"addr":   {Endpoint{ID: "s-1", Addr: "127.0.0.1", State: StateInService}, `discovery: server "s-1": address 127.0.0.1: missing port in address`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newTestConverter().Convert(EndpointList{Endpoints: []Endpoint{c.endpoint}})
			var invalid *InvalidEndpointError
			if !errors.As(err, &invalid) || invalid.ID != c.endpoint.ID || err.Error() != c.text {
				t.Errorf("error = %v, want the *InvalidEndpointError %s", err, c.text)
			}
			if addrErr := new(net.AddrError); errors.As(err, &addrErr) != (name == "addr") {
				t.Errorf("cause = %v, want a *net.AddrError only for an invalid address", errors.Unwrap(err))
			}
		})
	}
}

// No input makes Parse or Convert panic, and Parse rejects a truncated list.
func TestParseAndConvertDoNotPanicOnAnyInput(t *testing.T) {
	valid := `{"version":41,"full":true,"servers":[` + testEndpointJSON + `]}`
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		if rapid.Bool().Draw(t, "cut") {
			data = []byte(valid[:rapid.IntRange(0, len(valid)-1).Draw(t, "at")])
			if _, err := Parse(data); err == nil {
				t.Fatalf("Parse accepted the truncated list %q, want an error", data)
			}
		}
		if list, err := Parse(data); err == nil {
			_, _ = newTestConverter().Convert(list)
		}
	})
}

// Guards against a step of the wall clock that makes servers seem to have restarted: a start that was told before keeps
// its time on the core's clock, and a new one is converted by the wall clock as it stands.
func TestStartKeepsItsTimeWhenWallClockIsStepped(t *testing.T) {
	converter, step := newTestConverter(), time.Duration(0)
	converter.ToCoreTime = func(unixMS int64) time.Duration { return time.Duration(unixMS)*time.Millisecond + step }
	startedAt := func(full bool, unixMS int64) time.Duration {
		t.Helper()
		update, err := converter.Convert(EndpointList{Full: full, Endpoints: []Endpoint{
			{ID: "s-1", Addr: "127.0.0.1:9", State: StateInService, StartedMS: unixMS}}})
		if err != nil {
			t.Fatal(err)
		}
		return update.Endpoints[0].StartedAt
	}
	if got := startedAt(true, 5000); got != 5*time.Second {
		t.Errorf("StartedAt = %v, want 5s", got)
	}
	step = time.Hour
	for _, full := range []bool{true, false, true} {
		if got := startedAt(full, 5000); got != 5*time.Second {
			t.Errorf("StartedAt after a step = %v, want 5s as before", got)
		}
	}
	if got := startedAt(false, 9000); got != time.Hour+9*time.Second {
		t.Errorf("StartedAt of another start = %v, want 1h0m9s", got)
	}
}
