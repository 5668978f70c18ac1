package emulator

import (
	"errors"
	"net"
	"testing"

	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/resharding"
)

func TestCopySourceErrors(t *testing.T) {
	fleet, err := NewFleet(2, 10, Capacity{Cores: 1, Queue: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	noRecords := func(int) { t.Error("copySource reported progress without a record") }
	source := resharding.Source{Shard: 1, Range: shardmap.FullRange, Servers: []string{"s-01"}}
	if _, err := fleet.Servers[0].copySource(t.Context(), "players", source, noRecords); !errors.Is(err, errNoSource) {
		t.Errorf("source is the server itself: error = %v, want errNoSource", err)
	}
	source.Servers = []string{"s-02"}
	var status *statusError
	if _, err := fleet.Servers[0].copySource(t.Context(), "players", source, noRecords); !errors.As(err, &status) || status.status != 409 {
		t.Errorf("source does not hold the shard: error = %v, want a statusError of 409", err)
	}
	source.Servers = []string{"s-99"}
	var dial *net.OpError
	if _, err := fleet.Servers[0].copySource(t.Context(), "players", source, noRecords); !errors.As(err, &dial) {
		t.Errorf("source is not in the fleet: error = %v, want a net.OpError", err)
	}
}

func TestNewFleetAtUsedAddressFails(t *testing.T) {
	d, err := NewDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	var listen *net.OpError
	if _, err := NewFleetAt(1, 1, Capacity{Cores: 1}, 1, d.Addr()); !errors.As(err, &listen) {
		t.Errorf("discovery at a used address: error = %v, want a net.OpError", err)
	}
}
