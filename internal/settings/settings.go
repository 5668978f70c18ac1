// Package settings reads the deployment's figures. They come as path=value lines
// on the simulator's wire and as nested JSON on the platform; the names and the
// units are the same.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"linkpass"
)

// settingsReader reads path=value lines; the first thing amiss stays in err.
type settingsReader struct {
	values map[string]string
	err    error
}

func (s *settingsReader) fail(path, format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("settings: %s: %s", path, fmt.Sprintf(format, args...))
	}
}

func (s *settingsReader) number(path string) float64 {
	text, ok := s.values[path]
	if !ok || text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.fail(path, "not a number: %q", text)
	}
	return v
}

func (s *settingsReader) needed(path string) float64 {
	if _, ok := s.values[path]; !ok {
		s.fail(path, "missing")
	}
	return s.number(path)
}

func (s *settingsReader) ms(path string) time.Duration { return Duration(s.number(path)) }

func (s *settingsReader) flag(path string) bool { return s.values[path] == "true" }

// list reads a comma-separated list of numbers, one for each class.
func (s *settingsReader) list(path string, n int, otherwise float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = otherwise
	}
	text := s.values[path]
	if text == "" {
		return out
	}
	for i, item := range strings.Split(text, ",") {
		v, err := strconv.ParseFloat(item, 64)
		if err != nil {
			s.fail(path, "not a number: %q", item)
		}
		if i < n {
			out[i] = v
		}
	}
	return out
}

// Host is what a host needs beside the module's settings.
type Host struct {
	Zones, Kinds, Classes []string
	Tenants               []string      // none on some sites
	ReportNames           []string      // names of a report's values, in the module's order
	MaxStreams            int           // calls that one connection carries at a time
	ConnectTimeout        time.Duration // a connection not up by then has failed
	Keepalive             time.Duration // the other side closes an idle connection after this
}

// ParseText reads the simulator's path=value lines.
func ParseText(text string) (linkpass.Settings, error) {
	values := map[string]string{}
	for line := range strings.Lines(text) {
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			continue
		}
		path, value, ok := strings.Cut(line, "=")
		if !ok {
			return linkpass.Settings{}, fmt.Errorf("settings: line without '=': %q", line)
		}
		values[path] = value
	}
	s := &settingsReader{values: values}
	return s.module(), s.err
}

// ParseJSON reads the platform's nested object.
func ParseJSON(data []byte) (linkpass.Settings, Host, error) {
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return linkpass.Settings{}, Host{}, fmt.Errorf("settings: %w", err)
	}
	s := &settingsReader{values: map[string]string{}}
	flatten(s.values, "", tree)
	set, host := s.module(), s.host()
	set.WriteLag = host.ConnectTimeout // a connection may have to come up first
	return set, host, s.err
}

// flatten writes a JSON value as the simulator's lines would have it.
func flatten(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			flatten(out, strings.TrimPrefix(path+"."+key, "."), item)
		}
	case []any:
		var plain []string
		objects := 0
		for _, item := range v {
			if object, ok := item.(map[string]any); ok {
				flatten(out, fmt.Sprintf("%s.%d", path, objects), object)
				objects++
			} else {
				plain = append(plain, scalar(item))
			}
		}
		if objects > 0 {
			out[path+".count"] = strconv.Itoa(objects)
		} else {
			out[path] = strings.Join(plain, ",")
		}
	default:
		out[path] = scalar(v)
	}
}

// Name is how a name is written in the settings: they know no space and no comma.
func Name(s string) string { return names.Replace(s) }

var names = strings.NewReplacer(" ", "_", ",", "_")

func scalar(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return Name(v)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return fmt.Sprint(v)
}

// host reads what the host needs.
func (s *settingsReader) host() Host {
	h := Host{
		Zones: s.names("dcs"), Kinds: s.names("kinds"), ReportNames: s.names("report.fields"),
		MaxStreams:     int(s.number("bounds.max_streams")),
		ConnectTimeout: s.ms("bounds.connect_timeout"),
		Keepalive:      s.ms("bounds.keepalive"),
	}
	for i := range s.count("request_classes") {
		h.Classes = append(h.Classes, s.values[fmt.Sprintf("request_classes.%d.name", i)])
	}
	if s.values["tenants"] == "" {
		for i := range int(s.number("tenants.count")) {
			h.Tenants = append(h.Tenants, s.values[fmt.Sprintf("tenants.%d.name", i)])
		}
	}
	return h
}

// names reads a comma-separated list.
func (s *settingsReader) names(path string) []string {
	if s.values[path] == "" {
		return nil
	}
	return strings.Split(s.values[path], ",")
}

// module reads the settings of the module. Unknown keys are skipped; a key that
// is needed and missing is an error that names it.
func (s *settingsReader) module() linkpass.Settings {
	out := linkpass.Settings{
		Tick:           s.ms("tick"),
		Peers:          int(s.needed("peers_total")),
		Zone:           int(s.number("az")),
		CrossCost:      s.number("penalties.cross_zone"),
		Subscribe:      s.values["membership_mode"] == "subscribe",
		Sized:          s.values["weight_source"] == "nominal" || s.values["weight_source"] == "rough",
		OverShareWorth: s.number("over_share_worth"),
		Shards:         int(s.needed("extra.slabs")),
		Cells:          int(s.needed("extra.places")),
		Reach:          int(s.needed("extra.in_a_row")),
		CallParts:      int(s.number("extra.parts_a_call")),
		CallCost:       s.ms("extra.call"),
		WarmKeys:       s.flag("extra.warm_keys"),
		MaxAttempts:    int(s.number("bounds.max_attempts")),
		MaxOpen:        int(s.number("bounds.max_open")),
		MaxRetryAfter:  s.ms("bounds.max_retry_after"),
		Cancel:         s.flag("bounds.cancel"),
		Probes:         s.flag("bounds.probes"),
		SecondCopies:   s.flag("bounds.second_copies"),
		RetryAfter:     s.flag("bounds.retry_after"),
		AnswerSlack:    s.ms("rules.answer_slack"),
		AskWithin:      s.ms("rules.ask_within"),
		DrainGrace:     s.ms("rules.drain_grace"),
		ColdFrom:       s.number("rules.cold_from"),
		Cold:           s.ms("rules.cold"),
		FallMultiple:   s.number("rules.fall_multiple"),
		BudgetWindow:   s.ms("rules.budget_window"),
		BudgetFree:     s.number("rules.free_resends"),
		BudgetShare:    s.number("rules.extra_ratio"),
	}
	n := s.count("request_classes")
	need, floor := s.list("extra.class_need", n, 1), s.list("extra.least_share", n, 1)
	partial, fetch := s.list("extra.partial_earns", n, 0), s.list("extra.class_fetch", n, 0)
	for i := range n {
		at := fmt.Sprintf("request_classes.%d.", i)
		c := linkpass.Class{
			Aim:        Duration(s.needed(at + "aim")),
			Deadline:   Duration(s.needed(at + "hard_limit")),
			Window:     s.ms(at + "dedup_window"),
			Worth:      s.number(at + "importance"),
			LateShare:  s.number(at + "late_share"),
			Need:       need[i],
			Floor:      floor[i],
			Partial:    partial[i],
			FetchParts: int(fetch[i]),
			Stream:     s.flag(at + "stream"),
		}
		switch effect := s.values[at+"idempotency"]; effect {
		case "free":
			c.Effect = linkpass.Safe
		case "guarded":
			c.Effect = linkpass.Keyed
		case "single_shot":
			c.Effect = linkpass.Unsafe
		default:
			s.fail(at+"idempotency", "unknown: %q", effect)
		}
		out.Classes = append(out.Classes, c)
	}
	if s.values["tenants"] == "" {
		for i := range int(s.number("tenants.count")) {
			at := fmt.Sprintf("tenants.%d.", i)
			out.Tenants = append(out.Tenants, linkpass.Tenant{
				QuotaPerSecond: s.number(at + "quota_per_s"), Share: s.number(at + "share")})
		}
	}
	fields := map[string]linkpass.ReportField{
		"active": linkpass.FieldInflight, "waiting": linkpass.FieldQueue,
		"cpu": linkpass.FieldUtil, "avg_ms": linkpass.FieldServiceTime,
		"rps": linkpass.FieldRate, "err_rps": linkpass.FieldErrorRate,
	}
	if text := s.values["report.fields"]; text != "" {
		for _, name := range strings.Split(text, ",") {
			out.ReportFields = append(out.ReportFields, fields[name])
		}
	}
	return out
}

// count reads the length of a list of objects, within what a page can hold.
func (s *settingsReader) count(path string) int {
	n := s.needed(path + ".count")
	if n < 0 || n > 10000 || n != float64(int(n)) {
		s.fail(path+".count", "not a length: %v", n)
		return 0
	}
	return int(n)
}

// Duration turns milliseconds into time, to the microsecond. Values that are
// no number count as none, values out of range as the largest.
func Duration(ms float64) time.Duration {
	if math.IsNaN(ms) {
		return 0
	}
	ms = max(-1e12, min(1e12, ms))
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
