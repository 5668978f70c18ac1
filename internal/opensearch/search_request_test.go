package opensearch

import (
	"testing"

	"pgregory.net/rapid"
)

func TestParseSearchRejectsTruncatedBody(t *testing.T) {
	const valid = `{"query":{"bool":{"must":[{"match":{"name":"x"}}],"filter":{"term":{"a":1}}}},` +
		`"from":1,"size":3,"timeout":"1s"}`
	if _, err := parseSearch("", []byte(valid), testConfig()); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		cut := valid[:rapid.IntRange(1, len(valid)-1).Draw(t, "at")]
		if _, err := parseSearch("", []byte(cut), testConfig()); err == nil {
			t.Fatalf("truncated search %s was accepted", cut)
		}
		params, garbage := rapid.String().Draw(t, "params"), rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		_, _ = parseSearch(params, garbage, testConfig()) // must not panic
	})
}
