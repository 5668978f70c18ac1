package eventlog

import "github.com/hashicorp/go-hclog"

// Events of the watcher of discovery's endpoint list.
var (
	DiscoveryFailed = register(Event{
		Component: "discovery", Name: "discovery_failed", Level: hclog.Warn,
		Fields: []string{"addr", "err"},
		Meaning: "the watch on the endpoint list broke or timed out, or discovery rejected the call (`status 503`). " +
			"Timeout: 1 s plus a quarter of `drain_grace` without an event where lists are pushed; where they are " +
			"polled, 2.5 s for the first call, 3.5 s (1 s + 2.5 s) for the second and 1.75 s for later ones, counted " +
			"from a start, a failure or a change of address. It is retried with a backoff of a twentieth to a fifth " +
			"of `drain_grace` (pushed) or 50 ms to 1.6 s (polled), without further lines until it has recovered",
		Action: "the last list stays in force; if the failure persists, check discovery's agent",
	})
	DiscoveryRecovered = register(Event{
		Component: "discovery", Name: "discovery_recovered", FormerName: "discovery_back", Level: hclog.Info,
		Fields:  []string{"addr"},
		Meaning: "the watch works again after a failure",
		Action:  "nothing",
	})
	DiscoveryMoved = register(Event{
		Component: "discovery", Name: "discovery_moved", Level: hclog.Info,
		Fields:  []string{"from", "to"},
		Meaning: "the endpoint list is watched at another address from now on",
		Action:  "nothing; `event=discovery_failed` after it means that the new address does not answer",
	})
	EndpointListInvalid = register(Event{
		Component: "discovery", Name: "endpoint_list_invalid", FormerName: "list_bad", Level: hclog.Warn,
		Fields: []string{"err"},
		Meaning: "discovery sent an invalid endpoint list, or a watch event older than an earlier one " +
			"(`version 8 is older than the applied version 9`); it was dropped and the complete list is requested",
		Action: "correct the registry entry that the line names; versions that go back mean two sources behind one address",
	})
)
