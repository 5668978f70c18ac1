package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// flatten returns the leaf values of a JSON object by their dotted keys, written as in the simulator's lines.
func flatten(object map[string]any) map[string]string {
	out := map[string]string{}
	flattenObject(out, "", object)
	return out
}

func flattenValue(out map[string]string, key string, v any) {
	switch v := v.(type) {
	case map[string]any:
		flattenObject(out, key, v)
	case []any:
		flattenList(out, key, v)
	default:
		out[key] = scalar(v)
	}
}

func flattenObject(out map[string]string, key string, object map[string]any) {
	for name, v := range object {
		flattenValue(out, strings.TrimPrefix(key+"."+name, "."), v)
	}
}

// flattenList writes the objects of a list under KEY.0, KEY.1 and so on, with their number under KEY.count; other
// elements of such a list are dropped. A list without objects becomes one comma-separated value.
func flattenList(out map[string]string, key string, list []any) {
	var scalars []string
	objects := 0
	for _, v := range list {
		if object, ok := v.(map[string]any); ok {
			flattenObject(out, fmt.Sprintf("%s.%d", key, objects), object)
			objects++
		} else {
			scalars = append(scalars, scalar(v))
		}
	}
	if objects > 0 {
		out[key+".count"] = strconv.Itoa(objects)
	} else {
		out[key] = strings.Join(scalars, ",")
	}
}

// scalar formats a value that is neither an object nor a list; null becomes "".
func scalar(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return EncodeName(v)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return fmt.Sprint(v)
}

// EncodeName returns a name as the simulator's lines have it. There a space separates fields and a comma separates the
// items of a list, so both become underscores.
func EncodeName(s string) string { return nameReplacer.Replace(s) }

var nameReplacer = strings.NewReplacer(" ", "_", ",", "_")
