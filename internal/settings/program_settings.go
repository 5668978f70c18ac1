package settings

import "time"

// ProgramSettings holds the settings that the program needs outside the router.
type ProgramSettings struct {
	Zones, Kinds, Classes []string      // names, in the order of the settings' lists
	Tenants               []string      // names, in the order of the settings' list; none on some sites
	ReportNames           []string      // names of a load report's values, in the order of the router's ReportFields
	MaxStreams            int           // limit of the requests that one connection carries at a time
	ConnectTimeout        time.Duration // a dial that takes longer has failed
	ServerIdleTimeout     time.Duration // a server closes a connection that is idle for this long
}

// programSettings reads the settings that the program needs outside the router.
func (r *reader) programSettings() ProgramSettings {
	h := ProgramSettings{
		Zones:             r.names("dcs"),
		Kinds:             r.names("kinds"),
		ReportNames:       r.names("report.fields"),
		MaxStreams:        int(r.number("bounds.max_streams")),
		ConnectTimeout:    r.milliseconds("bounds.connect_timeout"),
		ServerIdleTimeout: r.milliseconds("bounds.keepalive"),
	}
	for i := range r.listLength("request_classes") {
		h.Classes = append(h.Classes, r.values[itemKey("request_classes", i, "name")])
	}
	for i := range r.tenantCount() {
		h.Tenants = append(h.Tenants, r.values[itemKey("tenants", i, "name")])
	}
	return h
}
