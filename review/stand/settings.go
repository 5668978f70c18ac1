//go:build review

package main

import "fmt"

// platformSettings are settings like those of the deployment msga-fantasy, for a small fleet.
func platformSettings(ordinal, coordinators, places, slabs int) string {
	return fmt.Sprintf(`{"az":0,"dcs":["ebene"],"kinds":["std-2core"],"ordinal":%d,"peers_total":%d,
"bounds":{"cancel":true,"connect_timeout":250,"cpu_us_per_request":0,"cpu_us_per_s":400000,"keepalive":30000,"max_attempts":3,
"max_open":160,"max_retry_after":1000,"max_streams":32,"peer_messages":false,"probes":true,"retry_after":true,"second_copies":true},
"clients":{"marks_retry":true},
"extra":{"call":0,"class_fetch":[0,0],"class_need":[1,1],"in_a_row":1,"least_share":[1,1],"partial_earns":[0.9,0.9],
"parts_a_call":1,"places":%d,"slabs":%d,"warm_keys":false},
"goal":{"whole":0.45,"worst_class":0.2,"worst_tenant":0,"worst_window":0.35},
"membership_mode":"automatic","over_share_worth":0.1,
"penalties":{"connection":0,"cross_zone":0.045,"handshake":0,"late_fail":0.08,"probe":0.01,"waste":0.096},
"report":{"fields":["active","avg_ms","waiting"],"how":"inline"},
"request_classes":[
{"name":"league-table","aim":2000,"hard_limit":5000,"dedup_window":5000,"group":"all","idempotency":"free","importance":3,"late_share":0.3,"stream":false},
{"name":"team-lookup","aim":1000,"hard_limit":2500,"dedup_window":5000,"group":"all","idempotency":"free","importance":1,"late_share":0,"stream":false}],
"rules":{"answer_slack":20,"ask_within":10000,"cold":18000,"cold_from":0.17,"drain_grace":1000,"fall_multiple":2,"tip_after":3000},
"stage":0,"tenants":[],"tick":5,"tiers":["league-store"],"weight_source":"rough","workload":"fanout","worth_by":"work"}`,
		ordinal, coordinators, places, slabs)
}

// platformConfig is the text of a coordinator's ROUTER_CONFIG.
func platformConfig(name, listen, discovery, seed, known, settings string) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":%q,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":%s,"settings":%s}`, name, listen, discovery, seed, known, settings)
}
