package config

// Limits of what a command may hold and of what the state keeps. They are part of the replicated decisions:
// every instance must apply the same ones.
const (
	MaxEntryBytes           = 4 << 20 // size of an encoded command
	MaxClients              = 1024    // clients whose last command is remembered
	MaxServers              = 10_000  // servers that the state describes
	MaxRemovedIDs           = 100_000 // ids of removed servers
	MaxMemberAddresses      = 32      // members whose address is kept
	MaxRejectedRestrictions = 256     // latest rejected restrictions that are reported
	MaxReportedShards       = 16      // shards listed in a result
	MaxNameBytes            = 128     // length of a client's or server's name
)
