package linkpass_test

import (
	"fmt"
	"time"

	"linkpass"
)

// A front node feeds its router one turn at a time and carries out what comes back.
func Example() {
	router, err := linkpass.New(linkpass.Settings{
		Tick: 5 * time.Millisecond, Peers: 1, Shards: 1, Cells: 1, Reach: 1, Probes: true,
		Classes: []linkpass.Class{{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1, Need: 1, Floor: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	turn := func(now time.Duration, events ...linkpass.Event) {
		for _, action := range router.Turn(now, events) {
			if _, ok := action.(linkpass.SetTimer); !ok {
				fmt.Printf("%v: %T%+v\n", now, action, action)
			}
		}
	}
	const server, query, part = 7, 100, 101
	turn(time.Second,
		linkpass.ListUpdate{Mode: linkpass.ListFull,
			Entries: []linkpass.Entry{{Server: server, State: linkpass.Ready}}},
		linkpass.Arrival{ID: query, Shard: -1, Left: 2 * time.Second, Query: 1, Amount: 1},
		linkpass.Arrival{ID: part, Shard: 0, Left: 2 * time.Second, Query: 1, Amount: 1})
	turn(1005*time.Millisecond, linkpass.Probed{Server: server, Code: linkpass.OK, Took: time.Millisecond})
	turn(1080*time.Millisecond, linkpass.Outcome{ID: part, Server: server, Code: linkpass.OK,
		Took: 70 * time.Millisecond})
	// Output:
	// 1s: linkpass.Probe{Server:7}
	// 1.005s: linkpass.Send{ID:101 Server:7 Timeout:1.995s Until:1000000h0m0s}
	// 1.08s: linkpass.Answer{ID:100 Whole:true}
}
