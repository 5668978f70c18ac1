package routing

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Guards against decisions that differ between processors. The golden trace, written on x86-64, holds the bits; here
// stand the range and the accuracy.
func TestExp2IsPortable(t *testing.T) {
	for x, want := range map[float64]float64{0: 1, 1: 2, 4: 16, -1: 0.5, -1074: 5e-324, -1075: 0, 2000: math.Inf(1)} {
		if got := exp2(x); got != want {
			t.Errorf("exp2(%v) = %v, want %v", x, got, want)
		}
	}
	if got := exp2(math.NaN()); !math.IsNaN(got) {
		t.Errorf("exp2(NaN) = %v, want NaN", got)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 10000 {
		x := rng.Float64()*100 - 80
		if got, want := exp2(x), math.Exp2(x); math.Abs(got-want) > want*2.5e-16 {
			t.Errorf("exp2(%v) = %v, want %v within an ulp", x, got, want)
		}
	}
}
