package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// flatten returns the leaves of a JSON object by their dotted keys, with the values written as in the simulator's lines.
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

// flattenList writes a list of objects under their places and KEY.count, and a list without objects as one value.
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

// EncodeName returns a name as the simulator's lines have it, where a space separates fields and a comma the items of a list.
func EncodeName(s string) string { return nameReplacer.Replace(s) }

var nameReplacer = strings.NewReplacer(" ", "_", ",", "_")
