package daemon

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"linkpass/internal/control"
)

// Check looks at what a start would look at, beyond each file by itself.
func (c Config) Check() error {
	if _, err := c.Search.Bodies.limits(c.memoryMB, c.host.Classes); err != nil {
		return err
	}
	addresses := map[string]string{}
	for key, addr := range map[string]string{"listen": c.listen, "operator": c.operator, "search front's listen": c.Search.Listen} {
		if other, twice := addresses[addr]; twice && addr != "" && !strings.HasSuffix(addr, ":0") {
			return fmt.Errorf("%s and %s are the same address %s", min(key, other), max(key, other), addr)
		}
		addresses[addr] = key
	}
	return nil
}

// Settings are the keys as they hold, and where each came from.
func (p *Program) Settings() (out []control.Setting) {
	c := p.cfg
	add := func(key string, value any, source string) {
		out = append(out, control.Setting{Key: key, Value: fmt.Sprint(value), Source: source})
	}
	add("platform.name", c.name, "platform")
	add("platform.listen", c.listen, "platform")
	add("platform.discovery", c.discovery, "platform")
	add("platform.limits.memory_mb", c.memoryMB, "platform")
	add("platform.limits.sockets", c.sockets, "platform")
	p.mu.Lock()
	add("processes", p.share.Processes, "handover")
	p.mu.Unlock()
	walk("", reflect.ValueOf(c.Search), func(key string, v reflect.Value) {
		source := "file"
		if v.IsZero() {
			source = "default"
		}
		add(key, v.Interface(), source)
	})
	slices.SortFunc(out, func(a, b control.Setting) int { return strings.Compare(a.Key, b.Key) })
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
		case inner.Kind() == reflect.Map || inner.Kind() == reflect.Func || inner.Kind() == reflect.Interface:
			// Indices, servers and classes are the store's to show: store get.
		default:
			f(strings.TrimPrefix(key+"."+name, "."), inner)
		}
	}
}
