package eventlog

import "github.com/hashicorp/go-hclog"

// Events of the watch on discovery's endpoint list.
var (
	DiscoveryFailed = register(Event{
		Component: "discovery", Name: "discovery_failed", Level: hclog.Warn,
		Fields: []string{"addr", "err"},
		Meaning: "the watch on the endpoint list broke or timed out: where lists are pushed after 1 s and a quarter of " +
			"`drain_grace` without an event, where they are polled after 1.75 s (2.5 s for the first); or discovery " +
			"rejected the call (`status 503`). It is retried after 50 ms (a twentieth of `drain_grace`) with a backoff " +
			"up to 1.6 s (a fifth), without further lines until it has recovered",
		Action: "the last list stays in force; if it goes on, look at discovery's agent",
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
		Meaning: "discovery sent an invalid endpoint list, or a watch event older than one before " +
			"(`version 8 after 9`); it was dropped and the complete list is requested",
		Action: "the line names the entry: correct the registry; versions that go back mean two sources behind one address",
	})
)
