package daemon

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"linkpass/internal/adminapi"
)

// Settings returns the keys with their values in force and the source of each, sorted by key.
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
	walkKeys("", reflect.ValueOf(c.Search), func(key string, v reflect.Value) {
		if v.IsZero() {
			add(key, Keys.MustKey(key).Default, "default")
		} else {
			add(key, v.Interface(), "file")
		}
	})
	slices.SortFunc(out, func(a, b adminapi.Setting) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// walkKeys calls f with the key and the value of each leaf of the operators' file.
func walkKeys(prefix string, v reflect.Value, f func(string, reflect.Value)) {
	t := v.Type()
	for i := range t.NumField() {
		field, inner := t.Field(i), v.Field(i)
		name := field.Tag.Get("toml")
		if !field.IsExported() || name == "-" {
			continue
		}
		key := strings.TrimPrefix(prefix+"."+name, ".")
		switch inner.Kind() {
		case reflect.Struct:
			walkKeys(key, inner, f)
		case reflect.Pointer:
			if inner.IsNil() {
				f(key, reflect.Zero(inner.Type().Elem()))
			} else {
				f(key, inner.Elem())
			}
		case reflect.Map, reflect.Func, reflect.Interface, reflect.Slice:
			// Not listed here: `store get` shows indices, servers and classes, `store members` shows members.
		default:
			f(key, inner)
		}
	}
}
