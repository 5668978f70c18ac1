package schema

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// check tells what is wrong with a value.
func (k Key) check(v any) error {
	wrong := fmt.Errorf("is %s, not a value of type %s", word(v), k.Type)
	switch k.Type {
	case Opaque:
		return nil
	case Bool:
		if _, ok := v.(bool); !ok {
			return wrong
		}
		return nil
	case Int, Float:
		n, ok := v.(int64)
		f, isFloat := v.(float64)
		if !ok && !(isFloat && k.Type == Float) {
			return wrong
		}
		if ok {
			f = float64(n)
		}
		return k.within(f, func(s string) float64 { b, _ := strconv.ParseFloat(s, 64); return b })
	case Strings, Ints, Sets:
		return k.list(v, wrong)
	}
	s, ok := v.(string)
	if !ok {
		if _, number := v.(int64); number && k.Type == Duration {
			return fmt.Errorf("is the number %v: a time has a unit, such as \"%vs\"", v, v)
		}
		return wrong
	}
	return k.text(s)
}

// text checks what stands as a string.
func (k Key) text(s string) error {
	switch {
	case s == "":
		return nil // as if it were not there
	case k.Type == Duration:
		d, err := time.ParseDuration(s)
		if err != nil {
			return fmt.Errorf("%q is no time such as \"1.5s\"", s)
		}
		return k.within(float64(d), func(s string) float64 { b, _ := time.ParseDuration(s); return float64(b) })
	case k.Type == Address:
		host, port, ok := strings.Cut(s, ":")
		if i := strings.LastIndex(s, ":"); ok {
			host, port = s[:i], s[i+1:]
		}
		if n, err := strconv.ParseUint(port, 10, 16); !ok || err != nil || host == "" && n == 0 {
			return fmt.Errorf("%q is no address such as \"127.0.0.1:9200\"", s)
		}
	case len(k.OneOf) > 0 && !slices.Contains(k.OneOf, s):
		return fmt.Errorf("%q is none of %s", s, strings.Join(k.OneOf, ", "))
	}
	return nil
}

func (k Key) list(v any, wrong error) error {
	all, ok := v.([]any)
	if !ok {
		return wrong
	}
	for _, e := range all {
		_, isString := e.(string)
		_, isInt := e.(int64)
		set, isList := e.([]any)
		fits := k.Type == Strings && isString || k.Type == Ints && isInt ||
			k.Type == Sets && isList && !slices.ContainsFunc(set, func(m any) bool { _, ok := m.(string); return !ok })
		if !fits {
			return wrong
		}
	}
	return nil
}

func (k Key) within(f float64, read func(string) float64) error {
	if k.Min != "" && f < read(k.Min) || k.Max != "" && f > read(k.Max) {
		return fmt.Errorf("is out of its range, %s", k.Range())
	}
	return nil
}

func word(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v)
	case []any, []map[string]any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return fmt.Sprint(v)
}
