package main

// Target sizes.
const (
	nodes         = 2600
	servers       = 26000
	openFlows     = 28e6
	newFlows      = 140e3 // per second
	configChanges = 5400  // per day
	replacements  = 3200 + 67
	secondsPerDay = 86400
)

// Assumptions that no measurement gives.
const (
	// recordChanges is the number of changes of a server's record when its VM is
	// replaced: it drains, leaves, announces itself and warms up in steps.
	recordChanges = 10
	// directoryReads is the number of reads with which a balancer looks after
	// the directory, per directoryPeriod.
	directoryReads  = 2
	directoryPeriod = 60 // seconds
	// writesPerChange is the number of writes of a change: a section, the root
	// and the removal of an old section.
	writesPerChange = 3
	// timelineMB is the size of a full ring with usual texts.
	timelineMB = 1.2
)

// Bounds of the target.
const (
	boundBytes     = 10000 // per second
	boundProcessor = 1.1   // percent of a core
	boundMemoryMB  = 32
	boundReads     = 1500 // per second
	boundWrites    = 300  // per second
	boundInForceMS = 5000
)

// row is one line of the table.
type row struct {
	role, what string
	value      float64
	bound      float64
	unit       string
	mechanism  string
}

// derive works out the needs of each role.
func derive(f *figures) ([]row, error) {
	rows := append(balancerRows(f), agentRows(f)...)
	rows = append(rows, storeRows(f)...)
	return rows, f.complete()
}

func changesPerSecond() float64 {
	return replacements * recordChanges / float64(secondsPerDay)
}

func balancerRows(f *figures) []row {
	configBytes := f.get("peer_bytes_at_rest/services=1600") +
		f.get("peer_bytes_per_change/services=1600")*configChanges/secondsPerDay
	viewMS := f.get("membership_view_after_change") / 1000
	planeMS := f.get("balancer_plane_after_change_26000_servers")
	rebuild := changesPerSecond() * (viewMS + planeMS) / 1000 * 100
	configMB := 2 * f.get("change_text_bytes/services=1600") / 1e6
	memory := f.get("membership_memory_with_second_view") +
		f.get("steering_memory_26000_servers_3_generations") + configMB + timelineMB
	return []row{
		{"balancer", "membership, both directions", f.get("membership_bytes_balancer_at_2600"), boundBytes, "B/s", "heartbeats to three homes, gossip on change, digests"},
		{"balancer", "configuration", configBytes, boundBytes, "B/s", "notices, deltas by section, a random peer asked regularly"},
		{"balancer", "processor, membership", f.get("membership_processor_balancer_at_2600"), boundProcessor, "% of a core", "pure core, one goroutine"},
		{"balancer", "processor, view and tables rebuilt on change", rebuild, boundProcessor, "% of a core", "tables of changed services only"},
		{"balancer", "live state", memory, boundMemoryMB, "MB", "interned records, tables of two bytes a bucket, three generations"},
		{"balancer", "flows passing", openFlows / nodes, 0, "flows", "no state for a flow"},
		{"balancer", "new flows", newFlows / nodes, 0, "flows/s", "one look-up a packet"},
	}
}

func agentRows(f *figures) []row {
	flows := openFlows / float64(servers)
	return []row{
		{"agent", "membership, both directions", f.get("membership_bytes_agent_208"), boundBytes, "B/s", "heartbeats, view of its own services as delta"},
		{"agent", "open flows", flows, 0, "flows", "the agent ends them"},
		{"agent", "memory of these as streams", flows * f.get("request/stream_memory_at_2000") / 1e6, 0, "MB", "not control; both ends' sockets counted"},
		{"agent", "registration of all flows once", flows * f.get("flows_registration_per_flow") / 1000, 0, "kB", "hashes in batches under a byte budget"},
	}
}

func storeRows(f *figures) []row {
	directory := float64(nodes*directoryReads) / directoryPeriod
	return []row{
		{"store", "reads and watches, configuration", f.get("model_store_calls/processes=2600"), boundReads, "calls/s", "two watchers a failure domain"},
		{"store", "reads, directory", directory, boundReads, "calls/s", "one check a minute"},
		{"store", "writes", float64(configChanges*writesPerChange) / secondsPerDay, boundWrites, "calls/s", "only on change"},
		{"store", "calls of a whole restart, configuration, 5 s", f.get("model_restart_store_calls_5s/processes=2600"), 5 * boundReads, "calls", "peers before the store"},
		{"all", "configuration in force, slowest process", f.get("model_in_force_max/processes=2600"), boundInForceMS, "ms", "notices with fan-out"},
	}
}
