package coverage

import "linkpass/internal/shardmap"

// minWeightShare is the minimum share of the total weight for a range, applied before the shares are normalized.
// Without it, the weight of a single key would be lost to rounding beside that of half the key space.
const minWeightShare = 0.001

// SplitWeight distributes the weight total over ranges in proportion to their sizes, with a lower bound for each.
// It returns one weight per range; they add up to total.
func SplitWeight(total float64, ranges []shardmap.Range) []float64 {
	size := 0.0
	for _, r := range ranges {
		size += r.Size()
	}
	weights := make([]float64, len(ranges))
	sum := 0.0
	for i, r := range ranges {
		weights[i] = max(minWeightShare, r.Size()/size)
		sum += weights[i]
	}
	for i := range weights {
		weights[i] *= total / sum
	}
	return weights
}
