package resharding

import (
	"testing"

	"linkpass/internal/goldentest"
	"linkpass/internal/shardmap"
)

func TestAssignmentGolden(t *testing.T) {
	goldentest.JSON(t, "duty.json", Assignment{
		Index:   "players",
		Version: 3,
		Tasks: []Task{{
			Shard: shardmap.FirstDynamicID + 4,
			Range: shardmap.Range{First: 1, Last: 0xff},
			Sources: []Source{{
				Range:   shardmap.Range{First: 2, Last: 0x7f},
				Servers: []string{"s-1", "s-2"},
				Shard:   shardmap.FirstDynamicID,
			}},
		}},
	})
	goldentest.Encodes(t, "duty_empty.json", Assignment{Index: "players", Tasks: []Task{{}}})
}

func TestShardStatusGolden(t *testing.T) {
	goldentest.JSON(t, "holding.json", ShardStatus{
		Shard:    shardmap.FirstDynamicID,
		Complete: true,
		Records:  12345678901,
	})
	goldentest.Encodes(t, "holding_empty.json", ShardStatus{})
}

// Checks the assignments of each server while a shard is split.
func TestAssignmentsDuringSplitGolden(t *testing.T) {
	m, err := shardmap.NewEven(2, [][]string{{"s-1"}, {"s-2"}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []shardmap.Command{
		{Request: &shardmap.PlanRequest{
			Kind:        shardmap.Split,
			Shards:      []shardmap.ShardID{shardmap.FirstDynamicID},
			Pieces:      2,
			ReplicaSets: [][]string{{"s-3"}, {"s-4"}},
		}},
		{Advance: &shardmap.Advance{Plan: 1, Step: shardmap.Copying}},
	} {
		if m, err = m.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Encodes(t, "duties_by_server.json", Assignments("players", m))
}
