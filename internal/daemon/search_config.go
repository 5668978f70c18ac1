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
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

// SearchConfig is the operators' file: the configuration of the search front and of the components around it.
type SearchConfig struct {
	Listen string `toml:"listen"` // address of the search front; "" turns it off
	searchconfig.Config
	Store   store.Config     `toml:"store"`
	Reshape ReshardingConfig `toml:"reshape"`
	Bodies  BodyConfig       `toml:"bodies"`

	Operator AdminConfig `toml:"operator"`
	Log      LogConfig   `toml:"log"`

	path   string         // of the operators' file; "" if the configuration was not read from a file
	values []schema.Value // the keys that the file sets
}

// DefaultSearchFile is the path of the operators' file if the command line names none.
const DefaultSearchFile = "deploy/opensearch.toml"

// LoadSearchConfig reads the operators' file. The error joins all that is wrong with the file, each with its line and
// key. If the default file does not exist, everything that it configures is off.
func LoadSearchConfig(path string) (SearchConfig, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && path == DefaultSearchFile {
		return SearchConfig{path: path}, nil
	}
	if err != nil {
		return SearchConfig{}, fmt.Errorf("operators' file: %w", err)
	}
	c := SearchConfig{path: path}
	var errs []schema.Error
	if c.values, errs = Keys.Read(path, string(text)); len(errs) > 0 {
		return c, joinErrors(errs)
	}
	if _, err := toml.Decode(string(text), &c); err != nil {
		return c, fmt.Errorf("operators' file %s: %w", path, err)
	}
	lines := schema.ParseLineNumbers(string(text))
	c.validate(func(key string, err error) {
		errs = append(errs, schema.Error{File: path, Line: lines.Line(key), Key: key, Err: err})
	})
	return c, joinErrors(errs)
}

func joinErrors(errs []schema.Error) error {
	slices.SortStableFunc(errs, func(a, b schema.Error) int { return cmp.Compare(a.Line, b.Line) })
	var all []error
	for _, err := range errs {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// validate reports the keys that contradict each other. Each key is valid by itself.
func (c *SearchConfig) validate(report func(key string, err error)) {
	if err := c.Config.Validate(); err != nil {
		report("indices", err)
	}
	if err := c.Bodies.check(); err != nil {
		report("bodies", err)
	}
	components := eventlog.Components()
	for name, level := range c.Log.Levels {
		if !slices.Contains(components, name) {
			report("log.levels."+name, fmt.Errorf("log.levels.%s = %q: no such part; there are %s",
				name, level, strings.Join(components, ", ")))
		}
	}
	if (c.Operator.Listen != "") != (c.Operator.Keys != "") {
		report("operator", errors.New("operator.listen and operator.keys go together"))
	}
	c.validateStore(report)
	seen := map[string]string{}
	c.addresses(func(key, addr string) {
		if other, ok := seen[addr]; ok {
			report(key, fmt.Errorf("%s is the address of %s too: %s", key, other, addr))
		}
		seen[addr] = key
	})
}

func (c *SearchConfig) validateStore(report func(key string, err error)) {
	if c.Store.ID == "" {
		return
	}
	if c.Listen == "" {
		report("store", errors.New("a store needs the front's listen address"))
	}
	if c.Store.Dir == "" {
		report("store", errors.New("a store needs store.dir"))
	}
	ids := map[string]bool{}
	for i, m := range c.Store.Members {
		if ids[m.ID] {
			report(fmt.Sprintf("store.members.%d.id", i), fmt.Errorf("member %q is listed twice", m.ID))
		}
		ids[m.ID] = true
	}
	if !ids[c.Store.ID] {
		report("store.id", fmt.Errorf("store.id %q is none of the members", c.Store.ID))
	}
}

// addresses calls f with each address that this instance or another one of the store is to listen at. It leaves out
// those whose port the system picks.
func (c *SearchConfig) addresses(f func(key, addr string)) {
	visit := func(key, addr string) {
		if _, port, err := net.SplitHostPort(addr); err == nil && port != "0" {
			f(key, addr)
		}
	}
	visit("listen", c.Listen)
	visit("operator.listen", c.Operator.Listen)
	for i, m := range c.Store.Members {
		visit(fmt.Sprintf("store.members.%d.raft", i), m.Raft)
		if m.ID != c.Store.ID { // this instance's own is the key listen
			visit(fmt.Sprintf("store.members.%d.http", i), m.HTTP)
		}
	}
}
