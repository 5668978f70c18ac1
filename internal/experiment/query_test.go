package experiment

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"linkpass/internal/emulator"
)

// Guards against a random draw that is moved, added or skipped: the queries of a seed would change, and runs of the
// same seed could no longer be compared.
func TestDrawQueriesGolden(t *testing.T) {
	const want = "893e4090180f9846b4d9cd3a0145f8925394d16098fd8757a11c1789ad5cc786"
	hash := sha256.New()
	records := emulator.Records(300)
	for seed := range uint64(3) {
		for _, q := range drawQueries(seed, 4*time.Second, 40, records) {
			fmt.Fprintln(hash, q.at, q.class, q.params, q.requested)
		}
		fmt.Fprintln(hash, drawSearchBody(rand.New(rand.NewPCG(seed, 5)), 3))
	}
	if got := fmt.Sprintf("%x", hash.Sum(nil)); got != want {
		t.Errorf("hash of the queries = %s, want %s", got, want)
	}
}
