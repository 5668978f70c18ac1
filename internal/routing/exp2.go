package routing

import "math"

// exp2 returns 2 to the power of x, with the same result on every processor: math.Exp2 is computed by other
// instructions on arm64 than on x86-64, and its last bit differs, so that coordinators would decide
// differently.
//
// 2**x is 2**k times e**r, with k the integer nearest to x and r = (x-k) ln 2, kept as hi - lo. e**r is
// approximated by a rational function of r (Remez, on [0, ln 2 / 2]). The conversions to float64 keep the
// compiler from fusing a multiplication with an addition.
func exp2(x float64) float64 {
	const (
		ln2High   = 6.93147180369123816490e-01
		ln2Low    = 1.90821492927058770002e-10
		overflow  = 1.0239999999999999e+03
		underflow = -1.0740e+03
	)
	switch {
	case math.IsNaN(x) || math.IsInf(x, 1):
		return x
	case x > overflow:
		return math.Inf(1)
	case x < underflow:
		return 0
	}
	k := int(math.Copysign(0.5, x) + x)
	t := x - float64(k)
	hi := float64(t * ln2High)
	lo := float64(-t * ln2Low)
	return math.Ldexp(expOfDifference(hi, lo), k)
}

// expOfDifference returns e to the power of hi - lo, whose absolute value is at most ln 2 / 2.
func expOfDifference(hi, lo float64) float64 {
	const (
		p1 = 1.66666666666666657415e-01
		p2 = -2.77777777770155933842e-03
		p3 = 6.61375632143793436117e-05
		p4 = -1.65339022054652515390e-06
		p5 = 4.13813679705723846039e-08
	)
	r := hi - lo
	t := float64(r * r)
	polynomial := p4 + float64(t*p5)
	polynomial = p3 + float64(t*polynomial)
	polynomial = p2 + float64(t*polynomial)
	polynomial = p1 + float64(t*polynomial)
	c := r - float64(t*polynomial)
	return 1 - ((lo - float64(r*c)/(2-c)) - hi)
}
