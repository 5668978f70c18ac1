package dashboard

import (
	"fmt"
	"hash/fnv"
	"html/template"
	"math"
	"strings"

	"linkpass/internal/adminapi"
	"linkpass/internal/shardmap"
)

// keySpaceWidth is the width of the bar that shows the key space of an index, in units of the SVG view box.
const keySpaceWidth = 1000

// indexRow shows the shards of an index side by side over the key space.
type indexRow struct {
	Name    string
	Version uint64
	Total   int // number of shards of the index
	Shards  []shardBox
}

// shardBox is the rectangle of a shard in the bar.
type shardBox struct {
	X, Width float64 // left edge and width, both in units of the bar of keySpaceWidth
	Color    template.CSS
	Title    string
}

func newIndexRow(m adminapi.IndexShardMap) indexRow {
	row := indexRow{Name: m.Index, Version: m.Version, Total: m.Total}
	for _, s := range m.Shards {
		row.Shards = append(row.Shards, newShardBox(s))
	}
	return row
}

// newShardBox returns the rectangle of a shard. Shards with the same replicas have the same color.
func newShardBox(s shardmap.Shard) shardBox {
	const keys = float64(math.MaxUint64)
	replicas := strings.Join(s.Replicas, ", ")
	hash := fnv.New32a()
	hash.Write([]byte(replicas))
	return shardBox{
		X:     keySpaceWidth * float64(s.Range.First) / keys,
		Width: keySpaceWidth * (float64(s.Range.Last-s.Range.First) + 1) / keys,
		Color: template.CSS(fmt.Sprintf("hsl(%d 45%% 60%%)", hash.Sum32()%360)),
		Title: fmt.Sprintf("slice %d, epoch %d: %s", s.ID, s.Epoch, replicas),
	}
}
