package experiment

import (
	"errors"
	"sync"
)

// runSeeds calls run for each seed and each of n runs, and returns the results in that order. The runs of a seed are
// concurrent. If one fails, no further seed is run.
func runSeeds[R any](seeds []uint64, n int, run func(seed uint64, i int) (R, error)) ([]R, error) {
	var all []R
	for _, seed := range seeds {
		results, errs := make([]R, n), make([]error, n)
		var runs sync.WaitGroup
		for i := range n {
			runs.Go(func() { results[i], errs[i] = run(seed, i) })
		}
		runs.Wait()
		if err := errors.Join(errs...); err != nil {
			return nil, err
		}
		all = append(all, results...)
	}
	return all, nil
}
