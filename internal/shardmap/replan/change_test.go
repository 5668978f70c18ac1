package replan

import (
	"reflect"
	"testing"
	"time"

	"linkpass/internal/shardmap"
)

// A pending sibling adjacent to the replanned part is merged into it. The new part takes the higher number of
// rounds of the two, so that merging cannot evade the limit on rounds.
func TestReplanMergesPendingSibling(t *testing.T) {
	m, err := shardmap.NewEven(1, [][]string{{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	halves := shardmap.FullRange.Split(2)
	for _, c := range []struct {
		name    string
		sibling Part
		want    Change
	}{
		{
			name:    "pending",
			sibling: Part{Shard: 2, Range: halves[1], Round: 2},
			want: Change{
				Drop: []int{0, 1},
				Add:  []Part{{Shard: shardmap.FirstDynamicID, Range: shardmap.FullRange, Round: 3}},
			},
		},
		{
			name:    "in flight",
			sibling: Part{Shard: 2, Range: halves[1], State: InFlight},
			want: Change{
				Drop: []int{0},
				Add:  []Part{{Shard: shardmap.FirstDynamicID, Range: halves[0], Round: 1}},
			},
		},
		{
			name:    "without rounds left",
			sibling: Part{Shard: 2, Range: halves[1], Round: MaxRounds},
			want: Change{
				Drop: []int{0},
				Add:  []Part{{Shard: shardmap.FirstDynamicID, Range: halves[0], Round: 1}},
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			parts := []Part{{Shard: 1, Range: halves[0]}, c.sibling}
			got, reason := Replan(m, parts, 0, time.Second, time.Millisecond)
			if reason != Replanned || !reflect.DeepEqual(got, c.want) {
				t.Errorf("Replan = %+v, reason %q; want %+v", got, reason, c.want)
			}
		})
	}
}
