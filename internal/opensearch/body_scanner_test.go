package opensearch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against wrong offsets of the query, which is cut out of a body that is never decoded as a whole.
func TestScanSearchFindsQuery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		space := rapid.StringMatching(`[ \n\t]{0,3}`)
		query := rapid.SampledFrom([]string{
			`{"match_all":{}}`,
			`{"bool":{"must":{"ids":{"values":["a",1,null,{"x":[]}]}},"boost":2}}`,
			`{"term":{"a":"}\"]"}}`,
		}).Draw(t, "query")
		var fields []string
		for _, f := range []string{`"from"%s:%s3`, `"query"%s:%s` + query, `"size"%s:%snull`, `"timeout"%s:%s"1s"`} {
			fields = append(fields, fmt.Sprintf(f, space.Draw(t, "s"), space.Draw(t, "s")))
		}
		ordered := rapid.Permutation(fields).Draw(t, "order")
		body := "{" + strings.Join(ordered, space.Draw(t, "s")+","+space.Draw(t, "s")) + "}"
		got, err := scanSearch(strings.NewReader(body))
		if err != nil || *got.from != 3 || got.size != nil || *got.timeout != "1s" {
			t.Fatalf("scanSearch(%s) = %+v, %v, want from 3, no size and timeout 1s", body, got, err)
		}
		found := bytes.TrimRight(trimColon([]byte(body[got.queryStart:got.queryEnd])), " ")
		if string(found) != query {
			t.Fatalf("query = %q, want %q", found, query)
		}
	})
}
