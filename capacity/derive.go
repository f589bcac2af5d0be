package main

// Size of the target deployment.
const (
	nodes               = 2600
	servers             = 26000
	openFlows           = 28e6
	newFlowsPerSecond   = 140e3
	configChangesPerDay = 5400
	replacementsPerDay  = 3200 + 67
	secondsPerDay       = 86400
)

// Assumptions about the target deployment.
const (
	// recordChangesPerReplacement is the number of changes of a server's record when
	// its VM is replaced: it drains, deregisters, registers and warms up in steps.
	recordChangesPerReplacement = 10
	// directoryReadsPerInterval is the number of reads with which a balancer checks the
	// directory once per interval.
	directoryReadsPerInterval = 2
	directoryIntervalSeconds  = 60
	// writesPerChange is the number of writes of a configuration change: a section,
	// the root and the removal of an old section.
	writesPerChange = 3
	// timelineMB is the size of a full ring buffer of events with typical texts.
	timelineMB = 1.2
)

// Limits of the target.
const (
	limitBytesPerSecond   = 10000
	limitProcessorPercent = 1.1 // of a core
	limitMemoryMB         = 32
	limitReadsPerSecond   = 1500
	limitWritesPerSecond  = 300
	limitActivationMS     = 5000
)

// row is a row of the table.
type row struct {
	role, what string
	value      float64
	limit      float64
	unit       string
	mechanism  string
}

// deriveRows computes the resource usage of each role.
func deriveRows(f *figures) ([]row, error) {
	rows := append(balancerRows(f), agentRows(f)...)
	rows = append(rows, storeRows(f)...)
	return rows, f.checkComplete()
}

func changesPerSecond() float64 {
	return replacementsPerDay * recordChangesPerReplacement / float64(secondsPerDay)
}

func balancerRows(f *figures) []row {
	configBytes := f.value("peer_bytes_at_rest/services=1600") +
		f.value("peer_bytes_per_change/services=1600")*configChangesPerDay/secondsPerDay
	viewMS := f.value("membership_view_after_change") / 1000
	tablesMS := f.value("balancer_plane_after_change_26000_servers")
	rebuild := changesPerSecond() * (viewMS + tablesMS) / 1000 * 100
	configMB := 2 * f.value("change_text_bytes/services=1600") / 1e6
	memory := f.value("membership_memory_with_second_view") +
		f.value("steering_memory_26000_servers_3_generations") + configMB + timelineMB
	return []row{
		{"balancer", "membership, both directions", f.value("membership_bytes_balancer_at_2600"), limitBytesPerSecond, "B/s", "heartbeats to three home balancers, gossip on change, digests"},
		{"balancer", "configuration", configBytes, limitBytesPerSecond, "B/s", "notifications, deltas by section, regular query to a random peer"},
		{"balancer", "processor, membership", f.value("membership_processor_balancer_at_2600"), limitProcessorPercent, "% of a core", "core without I/O, one goroutine"},
		{"balancer", "processor, view and tables rebuilt on change", rebuild, limitProcessorPercent, "% of a core", "tables of changed services only"},
		{"balancer", "live state", memory, limitMemoryMB, "MB", "interned records, tables with two bytes per bucket, three generations"},
		{"balancer", "forwarded flows", openFlows / nodes, 0, "flows", "no state per flow"},
		{"balancer", "new flows", newFlowsPerSecond / nodes, 0, "flows/s", "one lookup per packet"},
	}
}

func agentRows(f *figures) []row {
	flows := openFlows / float64(servers)
	return []row{
		{"agent", "membership, both directions", f.value("membership_bytes_agent_208"), limitBytesPerSecond, "B/s", "heartbeats, deltas of the view of its services"},
		{"agent", "open flows", flows, 0, "flows", "terminated by the agent"},
		{"agent", "memory of open flows as streams", flows * f.value("request/stream_memory_at_2000") / 1e6, 0, "MB", "data plane; includes the sockets of both ends"},
		{"agent", "one registration of all flows", flows * f.value("flows_registration_per_flow") / 1000, 0, "kB", "hashes in batches, limited by a token bucket"},
	}
}

func storeRows(f *figures) []row {
	directory := float64(nodes*directoryReadsPerInterval) / directoryIntervalSeconds
	return []row{
		{"store", "reads and watches, configuration", f.value("model_store_calls/processes=2600"), limitReadsPerSecond, "calls/s", "two watching processes per failure domain"},
		{"store", "reads, directory", directory, limitReadsPerSecond, "calls/s", "one check per minute"},
		{"store", "writes", float64(configChangesPerDay*writesPerChange) / secondsPerDay, limitWritesPerSecond, "calls/s", "only on change"},
		{"store", "calls during a restart of all processes, configuration, 5 s", f.value("model_restart_store_calls_5s/processes=2600"), 5 * limitReadsPerSecond, "calls", "peers are queried before the store"},
		{"all", "configuration active, slowest process", f.value("model_in_force_max/processes=2600"), limitActivationMS, "ms", "notifications with fan-out"},
	}
}
