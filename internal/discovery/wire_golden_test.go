package discovery

import (
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

// goldenList is a golden file with the list that it decodes to and the update that this converts to.
type goldenList struct {
	file   string
	list   EndpointList
	update coordinator.EndpointUpdate
}

var (
	goldenFirst = Endpoint{ID: "s-5be2a07c", Addr: "127.0.0.1:7001", Zone: "port-louis", Kind: "m4", Cell: 3, State: "in_service",
		Weight: 1.5, StartedMS: 1700000000123}
	goldenSecond = Endpoint{ID: "s-2", Addr: "[::1]:7002", Zone: "ebene", Kind: "m2", Cell: 5, State: "in_service", Weight: 1,
		StartedMS: 7}

	goldenFirstConverted = coordinator.Endpoint{Name: "s-5be2a07c", Addr: "127.0.0.1:7001", Endpoint: routing.Endpoint{
		Server: 0xace623f1fdc27c8a, Zone: 1, Kind: 1, Cell: 3, State: routing.Ready, Weight: 1.5, StartedAt: 1700000000123 * time.Millisecond}}
	goldenSecondConverted = coordinator.Endpoint{Name: "s-2", Addr: "[::1]:7002", Endpoint: routing.Endpoint{
		Server: 0x817cdd195c3fc43d, Cell: 5, State: routing.Ready, Weight: 1, StartedAt: 7 * time.Millisecond}}
)

func goldenLists() []goldenList {
	draining, removed := goldenFirst, Endpoint{ID: "s-2", State: "terminated"}
	draining.State = "terminating"
	drainingConverted := goldenFirstConverted
	drainingConverted.State = routing.Draining
	removedConverted := coordinator.Endpoint{Name: "s-2", Endpoint: routing.Endpoint{Server: goldenSecondConverted.Server, State: routing.Removed}}
	full := EndpointList{Version: 41, Full: true, Endpoints: []Endpoint{goldenFirst, goldenSecond}}
	converted := []coordinator.Endpoint{goldenFirstConverted, goldenSecondConverted}
	return []goldenList{
		{"full.json", full, coordinator.EndpointUpdate{Mode: routing.UpdateFull, Endpoints: converted}},
		{"full_indented.json", full, coordinator.EndpointUpdate{Mode: routing.UpdateFull, Endpoints: converted}},
		{"full_empty.json", EndpointList{Version: 1, Full: true, Endpoints: []Endpoint{}}, coordinator.EndpointUpdate{Mode: routing.UpdateFull}},
		{"delta.json", EndpointList{Version: 42, Endpoints: []Endpoint{goldenSecond}},
			coordinator.EndpointUpdate{Mode: routing.UpdateDelta, Endpoints: converted[1:]}},
		{"delta_draining.json", EndpointList{Version: 43, Endpoints: []Endpoint{draining, removed}},
			coordinator.EndpointUpdate{Mode: routing.UpdateDelta, Endpoints: []coordinator.Endpoint{drainingConverted, removedConverted}}},
		{"delta_empty.json", EndpointList{Version: 43, Endpoints: []Endpoint{}}, coordinator.EndpointUpdate{Mode: routing.UpdateDelta}},
	}
}

func newGoldenConverter() *Converter {
	return &Converter{Zones: []string{"ebene", "port-louis"}, Kinds: []string{"m2", "m4"}, Cells: 6,
		ToCoreTime: func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }}
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
			list, err := Parse(readList(t, c.file))
			if err != nil || !reflect.DeepEqual(list, c.list) {
				t.Fatalf("list:\ngot  %+v, %v\nwant %+v", list, err, c.list)
			}
			update, err := newGoldenConverter().Convert(list)
			if err != nil || !reflect.DeepEqual(update, c.update) {
				t.Errorf("update:\ngot  %+v, %v\nwant %+v", update, err, c.update)
			}
		})
	}
}

// Lists are encoded, too: an old process passes its cached list to the new one.
func TestListGoldenEncoding(t *testing.T) {
	var got []goldentest.Entry
	for _, c := range goldenLists() {
		data, err := json.Marshal(c.list)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, goldentest.Entry{Name: c.file, Data: string(data)})
	}
	goldentest.CheckEntries(t, "lists_written.txt", got)
}

func TestInvalidListGoldenIsRejected(t *testing.T) {
	for name, data := range goldentest.ReadEntries(t, "lists_unusable.txt") {
		t.Run(name, func(t *testing.T) {
			list, err := Parse([]byte(data))
			if err == nil {
				_, err = newGoldenConverter().Convert(list)
			}
			if err == nil {
				t.Errorf("Parse and Convert accepted %s, want an error", data)
			}
		})
	}
}

func TestWatchRequestGolden(t *testing.T) {
	var got []goldentest.Entry
	for _, c := range []struct {
		name    string
		request listRequest
	}{
		{"full list", listRequest{version: noVersion, wait: time.Second}},
		{"changes, at once", listRequest{version: 0}},
		{"changes, long poll", listRequest{version: 9007199254740993, wait: longPollWait}},
	} {
		client, server := net.Pipe()
		done := make(chan string)
		go func() {
			data, _ := io.ReadAll(server)
			done <- string(data)
		}()
		conn := &discoveryConn{client, http1.NewReader(endedReader{}, maxListBytes)}
		if _, err := conn.roundTrip("127.0.0.1:9400", c.request); err == nil {
			t.Errorf("%s: got a response, want an error, as there is no server", c.name)
		}
		_ = client.Close()
		got = append(got, goldentest.Entry{Name: c.name, Data: <-done})
	}
	goldentest.CheckEntries(t, "requests.txt", got)
}

// endedReader is the read side of a connection that ends without a response.
type endedReader struct{}

func (endedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// receive returns the next value of a channel. It fails the test if there is none for 10 s.
func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("received no value within 10 s")
	}
	return v
}

// A watch that starts from a cached list and receives the golden lists passes the expected updates to the core and
// sends the golden requests.
func TestWatchGoldenListsAndRequests(t *testing.T) {
	targets, answers := make(chan string, 16), make(chan string, 16)
	defer close(answers)
	core := &fakeCore{updates: make(chan coordinator.EndpointUpdate, 16)}
	w := NewWatcher(startTestAgent(t, targets, answers), newGoldenConverter(), core, metrics.NewCounters())
	cached, err := Parse(readList(t, "full.json"))
	if err != nil {
		t.Fatal(err)
	}
	defer runWatcher(t, w, cached)()

	expectUpdate := func(name string, want coordinator.EndpointUpdate) {
		t.Helper()
		if got := receive(t, core.updates); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got  %+v\nwant %+v", name, got, want)
		}
	}
	var got []goldentest.Entry
	lists := goldenLists()
	expectUpdate("cached", coordinator.EndpointUpdate{Mode: routing.UpdateCached, Endpoints: lists[0].update.Endpoints})
	for _, i := range []int{1, 3, 4, 5, 2} {
		got = append(got, goldentest.Entry{Name: "before " + lists[i].file, Data: receive(t, targets)})
		answers <- string(readList(t, lists[i].file))
		if lists[i].file != "delta_empty.json" { // without changes there is no update
			expectUpdate(lists[i].file, lists[i].update)
		}
	}
	got = append(got, goldentest.Entry{Name: "after all", Data: receive(t, targets)})
	goldentest.CheckEntries(t, "watch.txt", got)
}
