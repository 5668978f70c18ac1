package daemon

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"linkpass/internal/adminapi"
)

// Check looks at what a start would look at, beyond each file by itself.
func (c Config) Check() error {
	var faults []error
	if _, err := c.Search.Bodies.limits(c.memoryMB, c.host.Classes); err != nil {
		faults = append(faults, err)
	}
	seen := map[string]string{}
	for key, addr := range map[string]string{"listen of the platform": c.listen, "operator of the platform": c.operator} {
		if other, twice := seen[addr]; twice && addr != "" && !strings.HasSuffix(addr, ":0") {
			faults = append(faults, fmt.Errorf("%s is the address of %s too: %s", max(key, other), min(key, other), addr))
		}
		seen[addr] = key
	}
	c.Search.addresses(func(key, addr string) {
		if other, twice := seen[addr]; twice {
			faults = append(faults, fmt.Errorf("%s is the address of the %s too: %s", key, other, addr))
		}
	})
	if c.Search.Operator.Listen != "" && c.Search.Operator.Keys != "" {
		if _, err := ReadKeys(c.Search.Operator.Keys); err != nil {
			faults = append(faults, err)
		}
	}
	return errors.Join(faults...)
}

// Settings are the keys as they hold, and where each came from.
func (b *adminBackend) Settings() (out []adminapi.Setting) {
	b.mu.Lock()
	c, processes := b.cfg, b.share.Processes
	b.mu.Unlock()
	add := func(key string, value any, source string) {
		out = append(out, adminapi.Setting{Key: key, Value: fmt.Sprint(value), Source: source})
	}
	add("platform.name", c.name, "platform")
	add("platform.listen", c.listen, "platform")
	add("platform.discovery", c.discovery, "platform")
	add("platform.limits.memory_mb", c.memoryMB, "platform")
	add("platform.limits.sockets", c.sockets, "platform")
	add("processes", processes, "handover")
	walk("", reflect.ValueOf(c.Search), func(key string, v reflect.Value) {
		if v.IsZero() {
			add(key, Keys.MustKey(key).Default, "default")
		} else {
			add(key, v.Interface(), "file")
		}
	})
	slices.SortFunc(out, func(a, b adminapi.Setting) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// walk calls f with the leaves of the operators' file, by their keys in it.
func walk(key string, v reflect.Value, f func(string, reflect.Value)) {
	t := v.Type()
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("toml")
		inner := v.Field(i)
		switch {
		case !t.Field(i).IsExported() || name == "-":
		case inner.Kind() == reflect.Struct:
			walk(strings.TrimPrefix(key+"."+name, "."), inner, f)
		case inner.Kind() == reflect.Pointer && inner.IsNil():
			f(strings.TrimPrefix(key+"."+name, "."), reflect.Zero(inner.Type().Elem()))
		case inner.Kind() == reflect.Pointer:
			f(strings.TrimPrefix(key+"."+name, "."), inner.Elem())
		case inner.Kind() == reflect.Map || inner.Kind() == reflect.Func || inner.Kind() == reflect.Interface || inner.Kind() == reflect.Slice:
			// Indices, servers and classes are the store's to show: store get. So are members: store members.
		default:
			f(strings.TrimPrefix(key+"."+name, "."), inner)
		}
	}
}
