package opensearch

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// sortedHead returns the bytes of a request or response with its header lines sorted, as they are written in the
// random order of a map.
func sortedHead(t *testing.T, message []byte) []byte {
	t.Helper()
	head, body, ok := bytes.Cut(message, []byte("\r\n\r\n"))
	if !ok {
		t.Fatalf("message = %q, want an end of the header", message)
	}
	lines := strings.Split(string(head), "\r\n")
	slices.Sort(lines[1:])
	return append([]byte(strings.Join(lines, "\r\n")+"\r\n\r\n"), body...)
}

// responseBytes returns a response as it is written to a connection, with its header lines sorted.
func responseBytes(t *testing.T, res *http1.Response) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := http1.WriteResponse(&b, res); err != nil {
		t.Fatal(err)
	}
	return sortedHead(t, b.Bytes())
}

func goldenShardRequest() *coordinator.ShardRequest {
	return &coordinator.ShardRequest{
		Shard:      shardmap.FirstDynamicID + 4,
		MapVersion: 7,
		Range:      shardmap.Range{First: 1, Last: 0xff},
	}
}

// goldenConfig returns settings with an index of fixed shards and one with a shard map, in which the first shard is
// being split and the second one was moved.
func goldenConfig(t *testing.T) func() *searchconfig.Config {
	t.Helper()
	config, err := searchconfig.Parse([]byte(`{"search":{"max_result_window":100},"indices":{
		"players":{"class":"team-lookup","slices":[0,1,2]},
		"movable":{"class":"team-lookup","spread":{"slices":2,"sets":[["s-1","s-2"],["s-3"]]}}},
		"servers":{"s-1":{"protocol":"search"}}}`))
	if err != nil {
		t.Fatal(err)
	}
	m := config.ShardMap("movable")
	for _, command := range goldenPlans() {
		if m, err = m.Apply(command); err != nil {
			t.Fatal(err)
		}
	}
	config = config.WithShardMap("movable", m)
	return func() *searchconfig.Config { return config }
}

// goldenPlans returns commands that plan a split of the first shard and carry out a move of the second one.
func goldenPlans() []shardmap.Command {
	first := shardmap.FirstDynamicID
	replicas := map[shardmap.ShardID][]string{first + 4: {"s-6"}}
	return []shardmap.Command{
		{Request: &shardmap.PlanRequest{
			Kind:        shardmap.Split,
			Shards:      []shardmap.ShardID{first},
			Pieces:      2,
			ReplicaSets: [][]string{{"s-4"}, {"s-5"}},
		}},
		{Request: &shardmap.PlanRequest{
			Kind:        shardmap.Move,
			Shards:      []shardmap.ShardID{first + 1},
			ReplicaSets: [][]string{{"s-6"}},
		}},
		{Advance: &shardmap.Advance{Plan: 2, Step: shardmap.Copying}},
		{Advance: &shardmap.Advance{Plan: 2, Step: shardmap.Replicated, Replicas: replicas}},
		{Advance: &shardmap.Advance{Plan: 2, Step: shardmap.Switched, Replicas: replicas}},
	}
}
