package config

// Limits on the contents of a command and of the state. Whether a command is accepted depends on them, so all instances
// must use the same values: otherwise their states would diverge.
const (
	MaxEntryBytes           = 4 << 20 // bytes of an encoded command
	MaxClients              = 1024    // clients whose latest command and result are kept
	MaxServers              = 10_000  // servers with a replicated configuration
	MaxRemovedIDs           = 100_000 // ids of removed servers
	MaxMemberAddresses      = 32      // members whose client address is kept
	MaxRejectedRestrictions = 256     // rejected restrictions that are kept, the latest ones
	MaxReportedShards       = 16      // uncovered shards and cells listed in a result
	MaxNameBytes            = 128     // bytes of a client id, a server id or a member address
)
