package settings

import "time"

// Host is what the program around the policy module needs.
type Host struct {
	Zones, Kinds, Classes []string
	Tenants               []string      // none on some sites
	ReportNames           []string      // names of a load report's values, in the order of the router's ReportFields
	MaxStreams            int           // requests that one connection carries at a time
	ConnectTimeout        time.Duration // a connection that is not up by then has failed
	Keepalive             time.Duration // the other side closes an idle connection after this
}

// host reads what the program around the policy module needs.
func (r *reader) host() Host {
	h := Host{
		Zones:          r.names("dcs"),
		Kinds:          r.names("kinds"),
		ReportNames:    r.names("report.fields"),
		MaxStreams:     int(r.number("bounds.max_streams")),
		ConnectTimeout: r.milliseconds("bounds.connect_timeout"),
		Keepalive:      r.milliseconds("bounds.keepalive"),
	}
	for i := range r.count("request_classes") {
		h.Classes = append(h.Classes, r.values[item("request_classes", i, "name")])
	}
	for i := range r.tenantCount() {
		h.Tenants = append(h.Tenants, r.values[item("tenants", i, "name")])
	}
	return h
}
