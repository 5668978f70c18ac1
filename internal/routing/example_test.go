package routing_test

import (
	"fmt"
	"time"

	"linkpass/internal/routing"
)

// A coordinator passes the events of each turn to its router and carries out the actions that it returns.
func Example() {
	router, err := routing.New(routing.Settings{
		Tick: 5 * time.Millisecond, Coordinators: 1, HealthChecks: true,
		Shards: 1, Cells: 1, ReplicasPerShard: 1,
		Classes: []routing.Class{{
			LatencyObjective: time.Second, Deadline: 3 * time.Second,
			PriorityWeight: 1, RequiredWeight: 1, MinWeight: 1,
		}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	turn := func(now time.Duration, events ...routing.Event) {
		for _, action := range router.Turn(now, events) {
			if _, ok := action.(routing.SetTimer); !ok {
				fmt.Printf("%v: %T%+v\n", now, action, action)
			}
		}
	}
	const server, query, part = 7, 100, 101
	turn(time.Second,
		routing.EndpointUpdate{Mode: routing.UpdateFull,
			Endpoints: []routing.Endpoint{{Server: server, State: routing.Ready}}},
		routing.Arrival{ID: query, Shard: -1, Timeout: 2 * time.Second, QueryNumber: 1, Weight: 1},
		routing.Arrival{ID: part, Shard: 0, Timeout: 2 * time.Second, QueryNumber: 1, Weight: 1})
	turn(1005*time.Millisecond,
		routing.HealthCheckResult{Server: server, Code: routing.OK, Latency: time.Millisecond})
	turn(1080*time.Millisecond, routing.AttemptResult{ID: part, Server: server, Code: routing.OK,
		Latency: 70 * time.Millisecond})
	// Output:
	// 1s: routing.HealthCheck{Server:7}
	// 1.005s: routing.Send{ID:101 Server:7 Timeout:1.995s WriteBefore:1000000h0m0s}
	// 1.08s: routing.Answer{ID:100 Complete:true}
}
