package emulator_test

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"testing"
	"time"

	"linkpass/internal/shardmap"
)

func TestAssignmentCopiesShardFromReplica(t *testing.T) {
	fleet, shardMap := startFleet(t, 240)
	shard := shardMap.Shards()[0]
	target := fleet.Server("s-03")
	assignment := fmt.Sprintf(`{"duties":[{"index":%q,"version":9,"tasks":[{"slice":%d,"range":%q,"sources":[{"slice":%[2]d,"range":%[3]q,"servers":["s-99","s-03","s-01"]}]}]}]}`,
		testIndex, shard.ID, shard.Range)
	records := 0
	for _, record := range fleet.Records {
		if shard.Range.Contains(record.Key) {
			records++
		}
	}
	want := fmt.Sprintf(`"complete":true,"records":%d`, records)
	for {
		got := sendRequest(t, "PUT", "http://"+target.Addr()+"/_layout", assignment)
		if got.status != 200 {
			t.Fatalf("assignment: status = %d, body = %s, want status 200", got.status, got.body)
		}
		if strings.Contains(got.body, want) {
			break
		}
		if t.Context().Err() != nil {
			t.Fatalf("assignment: body = %s, want it to contain %s", got.body, want)
		}
		time.Sleep(5 * time.Millisecond)
	}
	got := searchRange(t, target, fmt.Sprint(shard.ID), shardmap.FullRange.String())
	if got.status != 200 || strings.Count(got.body, "_id") != records {
		t.Errorf("search: status = %d with %d hits, want 200 with %d", got.status, strings.Count(got.body, "_id"), records)
	}
}

func TestRecordsArePaged(t *testing.T) {
	fleet, shardMap := startFleet(t, 240)
	shard := shardMap.Shards()[0]
	base := "http://" + fleet.Servers[0].Addr() + "/_layout/records?index=" + testIndex
	query := fmt.Sprintf("%s&slice=%d&range=%s&from=", base, shard.ID, url.QueryEscape(shard.Range.String()))
	var ids []string
	for from := 0; ; {
		got := sendRequest(t, "GET", query+fmt.Sprint(from), "")
		var page struct {
			IDs  []string
			Next int
		}
		if err := json.Unmarshal([]byte(got.body), &page); err != nil || got.status != 200 || len(page.IDs) > 50 {
			t.Fatalf("response = %+v, parse error = %v, want status 200 and at most 50 ids", got, err)
		}
		ids = append(ids, page.IDs...)
		if page.Next == 0 {
			break
		}
		from = page.Next
	}
	for _, record := range fleet.Records {
		if shard.Range.Contains(record.Key) {
			if len(ids) == 0 || ids[0] != record.ID {
				t.Fatalf("remaining ids = %v, want %s next", ids, record.ID)
			}
			ids = ids[1:]
		}
	}
	if len(ids) > 0 {
		t.Errorf("ids that the shard does not hold = %v, want none", ids)
	}
	for bad, status := range map[string]int{query + "-1": 400, query + "x": 400, query + "999": 409, base + "&from=0&range=x": 400, strings.Replace(query, testIndex, "other", 1) + "0": 409} {
		if got := sendRequest(t, "GET", bad, ""); got.status != status {
			t.Errorf("%s: status = %d, want %d", bad, got.status, status)
		}
	}
}
