package experiment

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"linkpass/internal/emulator"
	"linkpass/internal/shardmap"
)

// trouble is what happens to a world while it is loaded.
type trouble struct {
	every   time.Duration // between two changes of the layouts; 0: they stay
	drains  time.Duration // between two servers told to drain; 0: none
	deaths  time.Duration // between two servers that die; 0: none
	stalls  bool          // servers stand still for a moment now and then
	ordered map[string]int
	stands  []stand
}

// stand is a server that is about to stand still.
type stand struct {
	server string
	at     time.Duration
	length time.Duration
}

// holdUps lets the old holders of a slice stand still for a moment about when its plan comes
// to the switch: what was sent there then finds the slice gone.
func (t *trouble) holdUps(rows []shard, index string, id uint64, now time.Duration, rng *rand.Rand) {
	for _, r := range rows {
		if r.Index == index && r.Shard == id {
			t.stands = append(t.stands, stand{r.Node, now + 100*time.Millisecond + time.Duration(rng.Int64N(int64(900*time.Millisecond))),
				200*time.Millisecond + time.Duration(rng.Int64N(int64(300*time.Millisecond)))})
		}
	}
}

// shard is a row of /_cat/shards.
type shard struct {
	Index string `json:"index"`
	Shard uint64 `json:"shard"`
	State string `json:"state"`
	Range string `json:"range"`
	Node  string `json:"node"`
	Plan  uint64 `json:"plan"`
}

// run makes trouble until the context ends.
func (t *trouble) run(ctx context.Context, w *world, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	begin := time.Now()
	now := func() time.Duration { return time.Since(begin) }
	nextChange, nextDrain, nextDeath := t.every/2, t.drains, t.deaths
	nextStall := make([]time.Duration, len(w.fleet.Servers))
	for i := range nextStall {
		nextStall[i] = time.Duration(rng.Int64N(int64(7 * time.Second)))
	}
	var later []func() bool // what is to be undone when its time has come
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		later = slices.DeleteFunc(later, func(f func() bool) bool { return f() })
		if t.every > 0 && now() >= nextChange {
			nextChange += t.every
			t.change(w, now(), rng)
		}
		if t.stalls {
			for i, s := range w.fleet.Servers {
				if now() >= nextStall[i] {
					s.Pause(79*time.Millisecond + time.Duration(rng.Int64N(int64(161*time.Millisecond))))
					nextStall[i] = now() + 4900*time.Millisecond + time.Duration(rng.Int64N(int64(3800*time.Millisecond)))
				}
			}
		}
		t.stands = slices.DeleteFunc(t.stands, func(s stand) bool {
			if now() < s.at {
				return false
			}
			w.fleet.Server(s.server).Pause(s.length)
			return true
		})
		if t.drains > 0 && now() >= nextDrain {
			nextDrain += t.drains
			if s := t.spare(w, rng); s != nil {
				w.fleet.SetState(s, "terminating")
				back := now() + 2500*time.Millisecond
				t.ordered["drains"]++
				later = append(later, func() bool {
					if now() < back {
						return false
					}
					w.fleet.SetState(s, "in_service")
					return true
				})
			}
		}
		if t.deaths > 0 && now() >= nextDeath {
			nextDeath += t.deaths
			if s := t.spare(w, rng); s != nil {
				s.Kill(true)
				told, rises := now()+800*time.Millisecond, now()+2*time.Second
				t.ordered["deaths"]++
				later = append(later, func() bool {
					if told > 0 && now() >= told {
						told = 0
						w.fleet.SetState(s, "terminated")
					}
					if now() < rises {
						return false
					}
					if s.Restart() == nil {
						w.fleet.SetState(s, "in_service")
					}
					return true
				})
			}
		}
	}
}

// rows reads the slices as the first coordinator has them.
func (w *world) rows() (out []shard) {
	_, body, err := w.ask(w.nodes[0], "GET", "/_cat/shards?format=json", "")
	if err != nil || json.Unmarshal(body, &out) != nil {
		return nil
	}
	return out
}

// spare finds a server in service whose slices all have another holder that runs, and that no
// open plan is about to rest on alone.
func (*trouble) spare(w *world, rng *rand.Rand) *emulator.Server {
	rows, up := w.rows(), w.fleet.InService()
	if len(rows) == 0 || len(up) == 0 {
		return nil
	}
	holders := map[string][]string{}
	for _, r := range rows {
		if slices.Contains(up, r.Node) {
			key := fmt.Sprint(r.Index, r.Shard)
			holders[key] = append(holders[key], r.Node)
		}
	}
	rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	for _, name := range up {
		alone := false
		for _, r := range rows {
			alone = alone || r.Node == name && len(holders[fmt.Sprint(r.Index, r.Shard)]) < 2
		}
		if !alone {
			return w.fleet.Server(name)
		}
	}
	return nil
}

// change orders a split, a merge or a move of a slice that no plan touches, in each index.
func (t *trouble) change(w *world, now time.Duration, rng *rand.Rand) {
	rows, up := w.rows(), w.fleet.InService()
	if len(up) < w.each {
		return
	}
	for _, c := range classes {
		type slice struct {
			id   uint64
			rng  shardmap.Range
			busy bool
		}
		var list []slice
		for _, r := range rows {
			span, err := shardmap.ParseRange(r.Range)
			if r.Index == c.index && r.State != "INITIALIZING" && r.State != "RETIRING" && err == nil &&
				!slices.ContainsFunc(list, func(s slice) bool { return s.id == r.Shard }) {
				list = append(list, slice{r.Shard, span, r.Plan > 0})
			}
		}
		slices.SortFunc(list, func(a, b slice) int { return cmp.Compare(a.rng.First, b.rng.First) })
		if len(list) == 0 {
			continue
		}
		i := rng.IntN(len(list))
		rng.Shuffle(len(up), func(a, b int) { up[a], up[b] = up[b], up[a] })
		to, _ := json.Marshal([][]string{up[:w.each]})
		kind, order := "move", fmt.Sprintf(`{"index":%q,"shard":%d,"to_nodes":%s}`, c.index, list[i].id, to)
		switch roll := rng.IntN(3); {
		case list[i].busy:
			continue
		case roll == 0 && len(list) < 2*w.slices:
			kind = "split"
		case roll == 1 && len(list) > w.slices/2 && i+1 < len(list) && !list[i+1].busy:
			kind = "merge"
			order = fmt.Sprintf(`{"index":%q,"shards":[%d,%d],"to_nodes":%s}`, c.index, list[i].id, list[i+1].id, to)
		}
		status, _, err := w.ask(w.nodes[rng.IntN(len(w.nodes))], "POST", "/_cluster/reroute", `{"commands":[{"`+kind+`":`+order+`}]}`)
		if err == nil && status == 200 {
			t.ordered[kind]++
			t.holdUps(rows, c.index, list[i].id, now, rng)
		} else {
			t.ordered["refused"]++
		}
	}
}

// ended counts the plans that came to an end, by step, as the first coordinator remembers.
func (w *world) ended() map[string]int64 {
	out := map[string]int64{}
	for _, step := range []string{"switched", "retired", "abandoned"} {
		out[step] = w.sum("resharding_" + step)
	}
	return out
}

// summary words a map in order of its keys.
func summary(m map[string]int) string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for i, k := range keys {
		keys[i] = fmt.Sprintf("%s %d", k, m[k])
	}
	return strings.Join(keys, ", ")
}
