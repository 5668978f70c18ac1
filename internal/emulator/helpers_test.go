package emulator_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"linkpass/internal/emulator"
	"linkpass/internal/shardmap"
)

const testIndex = "players"

var testCapacity = emulator.Capacity{Cores: 1, WorkPerPart: time.Millisecond, Queue: 4}

// startFleet starts four servers that hold two shards with two replicas each: s-01 and s-02 hold the first shard, s-03
// and s-04 the second.
func startFleet(t *testing.T, records int) (*emulator.Fleet, *shardmap.Map) {
	t.Helper()
	fleet, err := emulator.NewFleet(4, records, testCapacity, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	shardMap, err := shardmap.NewEven(2, fleet.ReplicaSets(2))
	if err != nil {
		t.Fatal(err)
	}
	fleet.PlaceShards(testIndex, shardMap)
	return fleet, shardMap
}

// response is an HTTP response with its whole body.
type response struct {
	status int
	header http.Header
	body   string
}

// sendRequest sends one HTTP request on a connection of its own. The headers are pairs of a name and a value.
func sendRequest(t *testing.T, method, url, body string, header ...string) response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{res.StatusCode, res.Header, string(text)}
}

// searchRange sends a server a search of a range of a shard.
func searchRange(t *testing.T, server *emulator.Server, shard, keys string) response {
	t.Helper()
	url := "http://" + server.Addr() + "/" + testIndex + "/_search?preference=_shards:" + shard
	return sendRequest(t, "POST", url, `{}`, "X-Layout-Range", keys)
}
