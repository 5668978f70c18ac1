package daemon

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"linkpass/internal/eventlog"
	"linkpass/internal/schema"
)

// Keys are those of the operators' file: the one place of their defaults, ranges and units.
var Keys = schema.Table{
	{Name: "listen", Type: schema.Address, Doc: "where searches are taken; empty: the search front is off"},
	{Name: "search.default_search_timeout", Type: schema.String, Reloadable: true, Doc: "of a search that names none, such as `1s`; empty: the class's deadline"},
	{Name: "search.default_allow_partial_results", Type: schema.Bool, Default: "true", Reloadable: true, Doc: "whether a search may be answered in part"},
	{Name: "search.max_result_window", Type: schema.Int, Default: "10000", Min: "0", Max: "1000000", Unit: "hits", Reloadable: true, Doc: "limit on `from` + `size`; 0: the default"},
	{Name: "indices.*.class", Type: schema.String, Reloadable: true, Doc: "class of queries that its searches count as"},
	{Name: "indices.*.slices", Type: schema.Ints, Reloadable: true, Doc: "numbers of the slices that it lies in"},
	{Name: "indices.*.spread.slices", Type: schema.Int, Min: "1", Max: "100000", Unit: "slices", Doc: "how many slices a new layout has ([slices.md](slices.md))"},
	{Name: "indices.*.spread.sets", Type: schema.Sets, Doc: "sets of servers that hold them, in turn"},
	{Name: "indices.*.layout", Type: schema.Opaque, Doc: "a layout as the store tells it"},
	{Name: "servers.*.protocol", Type: schema.String, Default: "plain", OneOf: []string{"plain", "search"}, Reloadable: true, Doc: "what a league server speaks"},
	{Name: "reshape.moves", Type: schema.Int, Default: "4", Min: "1", Max: "1000", Unit: "plans", Reloadable: true, Doc: "that copy at a time, in all"},
	{Name: "reshape.per_server", Type: schema.Int, Default: "1", Min: "1", Max: "100", Unit: "plans", Reloadable: true, Doc: "the same for one server"},
	{Name: "reshape.poll", Type: schema.Duration, Default: "1s", Min: "10ms", Max: "1m", Reloadable: true, Doc: "between two calls to every server"},
	{Name: "reshape.retire_after", Type: schema.Duration, Min: "1ms", Max: "24h", Reloadable: true, Doc: "old holders keep their data so long past a switch; the longest deadline and 1 s by default"},
	{Name: "reshape.patience", Type: schema.Duration, Default: "10m", Min: "1ms", Max: "168h", Reloadable: true, Doc: "a plan without progress for so long is abandoned"},
	{Name: "reshape.replan", Type: schema.Bool, Default: "true", Doc: "whether a part whose slice has moved is planned anew"},
	{Name: "bodies.memory_kib", Type: schema.Int, Min: "0", Max: "1073741824", Unit: "KiB", Reloadable: true, Doc: "for bodies in memory; 0: an eighth of the limit on memory, which is also half of it at most ([bodies.md](bodies.md))"},
	{Name: "bodies.largest_kib", Type: schema.Int, Default: "1024", Min: "0", Max: "1048576", Unit: "KiB", Doc: "a body above this does not stay in memory; at most what there is for bodies"},
	{Name: "bodies.files_kib", Type: schema.Int, Default: "0", Min: "0", Max: "1099511627776", Unit: "KiB", Reloadable: true, Doc: "for bodies in files; 0: there are none. From or to 0 takes a start"},
	{Name: "bodies.dir", Type: schema.String, Doc: "of these files"},
	{Name: "bodies.max_body_kib", Type: schema.Int, Default: "64", Min: "0", Max: "1048576", Unit: "KiB", Doc: "of a search's body; 0: the default"},
	{Name: "bodies.off", Type: schema.Bool, Default: "false", Doc: "every body lies in memory until its query ends, without a bound"},
	{Name: "bodies.classes.*.floor_kib", Type: schema.Int, Default: "0", Min: "0", Max: "1073741824", Unit: "KiB", Doc: "that other classes cannot take from this one"},
	{Name: "bodies.classes.*.share", Type: schema.Float, Default: "0", Min: "0", Max: "1", Doc: "of the memory for bodies that the class may have at most; 0: all"},
	{Name: "operator.socket", Type: schema.String, Doc: "path of the operators' API; empty: there is none ([cli.md](cli.md))"},
	{Name: "operator.listen", Type: schema.Address, Doc: "the same API over TCP, for signed calls alone; needs `operator.keys`"},
	{Name: "operator.keys", Type: schema.String, Reloadable: true, Doc: "file of the keys that sign calls, read again with every reload; nobody else may read it"},
	{Name: "operator.window", Type: schema.Duration, Default: "30s", Min: "1s", Max: "10m", Doc: "how far a signed call's time may be off"},
	{Name: "log.format", Type: schema.String, Default: "text", OneOf: []string{"text", "json"}, Doc: "of the log's lines ([oncall.md](oncall.md))"},
	{Name: "log.level", Type: schema.String, Default: "info", OneOf: logLevels, Reloadable: true, Doc: "least level of a line; the Raft library's own lines need `warn` at least"},
	{Name: "log.levels.*", Type: schema.String, OneOf: logLevels, Reloadable: true, Doc: "the same for one part of the program"},
	{Name: "store.id", Type: schema.String, Doc: "this instance's id in the replicated store; empty: the store is off"},
	{Name: "store.dir", Type: schema.String, Doc: "of its log, terms and snapshots"},
	{Name: "store.pace", Type: schema.Float, Default: "1", Min: "0", Max: "100", Doc: "scales Raft's own time limits"},
	{Name: "store.join", Type: schema.Bool, Default: "false", Doc: "an instance without state of its own waits until the others take it in (`linkpass store join n3 10.0.0.3:9300 10.0.0.3:9200`); of the members only its own line counts"},
	{Name: "store.members.*.id", Type: schema.String, Doc: "an instance of the store"},
	{Name: "store.members.*.raft", Type: schema.Address, Doc: "of its Raft traffic"},
	{Name: "store.members.*.http", Type: schema.Address, Doc: "of its search front"},
}

var logLevels = []string{"trace", "debug", "info", "warn", "error", "off"}

// DefaultSearchFile is the operators' file where none is named.
const DefaultSearchFile = "deploy/opensearch.toml"

// LoadSearch reads the operators' file and tells all that is wrong with it at once, each with its
// line and key. Without the default file everything is off.
func LoadSearch(path string) (Search, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && path == DefaultSearchFile {
		return Search{path: path}, nil
	}
	if err != nil {
		return Search{}, fmt.Errorf("operators' file: %w", err)
	}
	c := Search{path: path}
	var faults []schema.Error
	if c.values, faults = Keys.Read(path, string(text)); len(faults) > 0 {
		return c, join(faults)
	}
	if _, err := toml.Decode(string(text), &c); err != nil {
		return c, fmt.Errorf("operators' file %s: %w", path, err)
	}
	lines := schema.ParseLineNumbers(string(text))
	c.contradictions(func(key string, err error) {
		faults = append(faults, schema.Error{File: path, Line: lines.Of(key), Err: err})
	})
	return c, join(faults)
}

func join(faults []schema.Error) error {
	slices.SortStableFunc(faults, func(a, b schema.Error) int { return cmp.Compare(a.Line, b.Line) })
	var all []error
	for _, f := range faults {
		all = append(all, f)
	}
	return errors.Join(all...)
}

// contradictions tells what the keys say against each other, beyond what each may hold alone.
func (c *Search) contradictions(note func(key string, err error)) {
	if err := c.Config.Validate(); err != nil {
		note("indices", err)
	}
	if err := c.Bodies.check(); err != nil {
		note("bodies", err)
	}
	for part, level := range c.Log.Levels {
		if !slices.Contains(eventlog.Components(), part) {
			note("log.levels."+part, fmt.Errorf("log.levels.%s = %q: no such part; there are %s", part, level, strings.Join(eventlog.Components(), ", ")))
		}
	}
	if (c.Operator.Listen != "") != (c.Operator.Keys != "") {
		note("operator", errors.New("operator.listen and operator.keys go together"))
	}
	c.storeContradictions(note)
	seen := map[string]string{}
	c.addresses(func(key, addr string) {
		if other, twice := seen[addr]; twice {
			note(key, fmt.Errorf("%s is the address of %s too: %s", key, other, addr))
		}
		seen[addr] = key
	})
}

func (c *Search) storeContradictions(note func(key string, err error)) {
	if c.Store.ID == "" {
		return
	}
	if c.Listen == "" {
		note("store", errors.New("a store needs the front's listen address"))
	}
	if c.Store.Dir == "" {
		note("store", errors.New("a store needs store.dir"))
	}
	ids := map[string]bool{}
	for i, m := range c.Store.Members {
		if ids[m.ID] {
			note(fmt.Sprintf("store.members.%d.id", i), fmt.Errorf("member %q is there twice", m.ID))
		}
		ids[m.ID] = true
	}
	if !ids[c.Store.ID] {
		note("store.id", fmt.Errorf("store.id %q is none of the members", c.Store.ID))
	}
}

// addresses tells where this instance, or another of the store, is to listen; not where the system picks the port.
func (c *Search) addresses(f func(key, addr string)) {
	tell := func(key, addr string) {
		if _, port, err := net.SplitHostPort(addr); err == nil && port != "0" {
			f(key, addr)
		}
	}
	tell("listen", c.Listen)
	tell("operator.listen", c.Operator.Listen)
	for i, m := range c.Store.Members {
		tell(fmt.Sprintf("store.members.%d.raft", i), m.Raft)
		if m.ID != c.Store.ID { // its own is listen
			tell(fmt.Sprintf("store.members.%d.http", i), m.HTTP)
		}
	}
}
