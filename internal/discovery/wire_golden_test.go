package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/routing"
)

// goldenList is a golden list, and what the program makes of it.
type goldenList struct {
	file     string
	document EndpointList
	list     coordinator.EndpointUpdate
}

var (
	goldenFirst = Endpoint{ID: "s-5be2a07c", Addr: "127.0.0.1:7001", Zone: "port-louis", Kind: "m4", Cell: 3, State: "in_service",
		Weight: 1.5, StartedMS: 1700000000123}
	goldenSecond = Endpoint{ID: "s-2", Addr: "[::1]:7002", Zone: "ebene", Kind: "m2", Cell: 5, State: "in_service", Weight: 1,
		StartedMS: 7}

	goldenFirstMember = coordinator.Endpoint{Name: "s-5be2a07c", Addr: "127.0.0.1:7001", Endpoint: routing.Endpoint{
		Server: 0xace623f1fdc27c8a, Zone: 1, Kind: 1, Cell: 3, State: routing.Ready, Weight: 1.5, StartedAt: 1700000000123 * time.Millisecond}}
	goldenSecondMember = coordinator.Endpoint{Name: "s-2", Addr: "[::1]:7002", Endpoint: routing.Endpoint{
		Server: 0x817cdd195c3fc43d, Cell: 5, State: routing.Ready, Weight: 1, StartedAt: 7 * time.Millisecond}}
)

func goldenLists() []goldenList {
	draining, gone := goldenFirst, Endpoint{ID: "s-2", State: "terminated"}
	draining.State = "terminating"
	drainingMember := goldenFirstMember
	drainingMember.State = routing.Draining
	goneMember := coordinator.Endpoint{Name: "s-2", Endpoint: routing.Endpoint{Server: goldenSecondMember.Server, State: routing.Removed}}
	full := EndpointList{Version: 41, Full: true, Endpoints: []Endpoint{goldenFirst, goldenSecond}}
	members := []coordinator.Endpoint{goldenFirstMember, goldenSecondMember}
	return []goldenList{
		{"full.json", full, coordinator.EndpointUpdate{Mode: routing.UpdateFull, Endpoints: members}},
		{"full_indented.json", full, coordinator.EndpointUpdate{Mode: routing.UpdateFull, Endpoints: members}},
		{"full_empty.json", EndpointList{Version: 1, Full: true, Endpoints: []Endpoint{}}, coordinator.EndpointUpdate{Mode: routing.UpdateFull}},
		{"delta.json", EndpointList{Version: 42, Endpoints: []Endpoint{goldenSecond}},
			coordinator.EndpointUpdate{Mode: routing.UpdateDelta, Endpoints: members[1:]}},
		{"delta_draining.json", EndpointList{Version: 43, Endpoints: []Endpoint{draining, gone}},
			coordinator.EndpointUpdate{Mode: routing.UpdateDelta, Endpoints: []coordinator.Endpoint{drainingMember, goneMember}}},
		{"delta_empty.json", EndpointList{Version: 43, Endpoints: []Endpoint{}}, coordinator.EndpointUpdate{Mode: routing.UpdateDelta}},
	}
}

func goldenReader() *Converter {
	return &Converter{Zones: []string{"ebene", "port-louis"}, Kinds: []string{"m2", "m4"}, Cells: 6,
		Clock: func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }}
}

func readList(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestListGolden(t *testing.T) {
	for _, c := range goldenLists() {
		t.Run(c.file, func(t *testing.T) {
			d, err := Parse(readList(t, c.file))
			if err != nil || !reflect.DeepEqual(d, c.document) {
				t.Fatalf("got  %+v, %v\nwant %+v", d, err, c.document)
			}
			list, err := goldenReader().Convert(d)
			if err != nil || !reflect.DeepEqual(list, c.list) {
				t.Errorf("got  %+v, %v\nwant %+v", list, err, c.list)
			}
		})
	}
}

// The program writes lists too: an old process hands the one last known to the new one.
func TestListGoldenWritten(t *testing.T) {
	var got []goldentest.Entry
	for _, c := range goldenLists() {
		data, err := json.Marshal(c.document)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, goldentest.Entry{Name: c.file, Data: string(data)})
	}
	goldentest.CheckEntries(t, "lists_written.txt", got)
}

// The unusable lists are refused as a whole.
func TestListGoldenUnusable(t *testing.T) {
	for name, data := range goldentest.ReadEntries(t, "lists_unusable.txt") {
		t.Run(name, func(t *testing.T) {
			d, err := Parse([]byte(data))
			if err == nil {
				_, err = goldenReader().Convert(d)
			}
			if err == nil {
				t.Errorf("took %s", data)
			}
		})
	}
}

func TestWatchRequestGolden(t *testing.T) {
	var got []goldentest.Entry
	for _, c := range []struct {
		name string
		ask  ask
	}{
		{"full list", ask{version: none, wait: time.Second}},
		{"changes, at once", ask{version: 0}},
		{"changes, long poll", ask{version: 9007199254740993, wait: watchWait}},
	} {
		client, server := net.Pipe()
		done := make(chan string)
		go func() {
			data, _ := io.ReadAll(server)
			done <- string(data)
		}()
		l := &line{client, http1.NewReader(failedRead{}, maxList)}
		if _, err := l.ask("127.0.0.1:9400", c.ask); err == nil {
			t.Errorf("%s: an answer from nobody", c.name)
		}
		_ = client.Close()
		got = append(got, goldentest.Entry{Name: c.name, Data: <-done})
	}
	goldentest.CheckEntries(t, "requests.txt", got)
}

// failedRead stands for a server that never answers.
type failedRead struct{}

func (failedRead) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// within takes what comes next; a test whose watch went astray ends instead of waiting for good.
func within[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came for 10 s")
	}
	return v
}

// A watch that goes on from a known list through the golden ones: what it tells the core, and what it asks for.
func TestWatchGolden(t *testing.T) {
	requests, answers := make(chan string, 16), make(chan string, 16)
	defer close(answers)
	core := &fakeCore{lists: make(chan coordinator.EndpointUpdate, 16)}
	ctx, cancel := context.WithCancel(t.Context())
	w := NewWatcher(agent(t, requests, answers), goldenReader(), core, metrics.NewCounters())
	known, err := Parse(readList(t, "full.json"))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, known) }()
	defer func() { cancel(); <-done }()

	heard := func(name string, want coordinator.EndpointUpdate) {
		t.Helper()
		if got := within(t, core.lists); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got  %+v\nwant %+v", name, got, want)
		}
	}
	var got []goldentest.Entry
	lists := goldenLists()
	heard("cached", coordinator.EndpointUpdate{Mode: routing.UpdateCached, Endpoints: lists[0].list.Endpoints})
	for _, i := range []int{1, 3, 4, 5, 2} {
		got = append(got, goldentest.Entry{Name: "before " + lists[i].file, Data: within(t, requests)})
		answers <- string(readList(t, lists[i].file))
		if lists[i].file != "delta_empty.json" { // no news: the core hears nothing
			heard(lists[i].file, lists[i].list)
		}
	}
	got = append(got, goldentest.Entry{Name: "after all", Data: within(t, requests)})
	goldentest.CheckEntries(t, "watch.txt", got)
}
