package searchconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"linkpass/internal/shardmap"

	_ "linkpass/internal/testrand"
)

const validDocument = `{
	"search":{"default_search_timeout":"500ms"},
	"indices":{"players":{"class":"team-lookup","slices":[0,1]}},
	"servers":{"s-1":{"protocol":"search"}}
}`

func mustParse(t *testing.T, document string) *Config {
	t.Helper()
	c, err := Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// mustReject checks that Patch rejects a patch with ErrInvalid.
func mustReject(t *testing.T, c *Config, patch string) {
	t.Helper()
	if _, err := c.Patch([]byte(patch)); !errors.Is(err, ErrInvalid) {
		t.Errorf("patch %s: error = %v, want ErrInvalid", patch, err)
	}
}

// A patch changes the fields that it names and nothing else, leaves the published document unchanged, and is rejected
// if the patched document is invalid.
func TestConfigPatch(t *testing.T) {
	c := mustParse(t, validDocument)
	if c.Timeout() != 500*time.Millisecond || c.Protocol("s-1") != ProtocolSearch ||
		c.Protocol("s-2") != ProtocolPlain || c.MaxResultWindow() != 10000 || !c.AllowPartial() {
		t.Fatalf("parsed document = %+v, want the values of validDocument and the defaults", c)
	}
	next, err := c.Patch([]byte(`{"servers":{"s-1":null},"indices.players.slices":[2],
		"search":{"default_allow_partial_results":false}}`))
	if err != nil || next.Protocol("s-1") != ProtocolPlain || next.Indices["players"].Shards[0] != 2 ||
		next.Indices["players"].Class != "team-lookup" || next.AllowPartial() ||
		next.Timeout() != 500*time.Millisecond {
		t.Errorf("patched document = %+v, error = %v, want the patched fields changed and the others kept", next, err)
	}
	if c.Protocol("s-1") != ProtocolSearch || !c.AllowPartial() {
		t.Error("the patch changed a published document")
	}
	for name, patch := range map[string]string{
		"index name in upper case": `{"indices":{"Players":{"class":"a","slices":[1]}}}`,
		"duplicate shard":          `{"indices.players.slices":[1,1]}`,
		"negative shard":           `{"indices.players.slices":[-1]}`,
		"no shard":                 `{"indices.players.slices":[]}`,
		"unknown protocol":         `{"servers.s-1.protocol":"telnet"}`,
		"unknown key":              `{"unheard":1}`,
		"malformed timeout":        `{"search.default_search_timeout":"soon"}`,
		"negative window":          `{"search.max_result_window":-1}`,
		"array":                    `[]`,
		"two values":               `{} {}`,
	} {
		t.Run(name, func(t *testing.T) { mustReject(t, c, patch) })
	}
}

func TestParseDuration(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"":        0,
		"-1":      0,
		"3micros": 3 * time.Microsecond,
		"2s":      2 * time.Second,
		"1m":      time.Minute,
	} {
		t.Run("valid "+text, func(t *testing.T) {
			if got, err := ParseDuration(text); err != nil || got != want {
				t.Errorf("ParseDuration(%q) = %v, %v, want %v", text, got, err, want)
			}
		})
	}
	for _, text := range []string{"5", "0s", "-2s", "1.5s", "s", "99999999999d"} {
		t.Run("invalid "+text, func(t *testing.T) {
			if _, err := ParseDuration(text); err == nil {
				t.Errorf("ParseDuration(%q) accepted an invalid time value", text)
			}
		})
	}
}

// Parse rejects a document that was cut off at any length. In addition, arbitrary patches and durations must not cause
// a panic.
func TestParseRejectsTruncatedDocument(t *testing.T) {
	base := &Config{}
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(0, len(validDocument)-1).Draw(t, "length")
		if _, err := Parse([]byte(validDocument[:length])); err == nil {
			t.Fatalf("Parse accepted a document truncated to %d of %d bytes", length, len(validDocument))
		}
		_, _ = base.Patch(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
		_, _ = ParseDuration(rapid.String().Draw(t, "time"))
	})
}

// A shard map is generated once from the initial sharding, shared with the earlier document while it does not change,
// listed by ShardMapChanges when it changes, and never changed by a patch.
func TestConfigShardMapsFollowDocument(t *testing.T) {
	first := mustParse(t, `{"search":{},"indices":{
		"a":{"class":"x","spread":{"slices":3,"sets":[["s"]]}},
		"b":{"class":"x","spread":{"slices":1,"sets":[["t"]]}}}}`)
	if changes := first.ShardMapChanges(nil); len(changes) != 2 || len(changes[0].Added) != 3 {
		t.Errorf("changes without an earlier document = %+v, want 2 with 3 added shards in the first", changes)
	}
	split := &shardmap.PlanRequest{
		Kind: shardmap.Split, Shards: []shardmap.ShardID{shardmap.FirstDynamicID}, Pieces: 2,
	}
	planned, err := first.ShardMap("a").Apply(shardmap.Command{Request: split})
	if err != nil {
		t.Fatal(err)
	}
	second := first.WithShardMap("a", planned)
	second.Revision = 1
	data, err := json.Marshal(second)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := ParseUpdate(data, first)
	if err != nil || parsed.ShardMap("b") != first.ShardMap("b") || parsed.ShardMap("a").Version() != 2 ||
		first.ShardMap("a").Version() != 1 {
		t.Errorf("ParseUpdate error = %v, want nil, the same shard map for b and version 2 of that for a", err)
	}
	changes := parsed.ShardMapChanges(first)
	if len(changes) != 1 || changes[0].Collection != "a" || len(changes[0].Added)+len(changes[0].Removed) != 0 {
		t.Errorf("changes by an open plan = %+v, want one for a without added or removed shards", changes)
	}
	removed, err := parsed.Patch([]byte(`{"indices":{"b":null}}`))
	if err != nil {
		t.Fatal(err)
	}
	changes = removed.ShardMapChanges(parsed)
	if len(changes) != 1 || changes[0].Map != nil || len(changes[0].Removed) != 1 {
		t.Errorf("changes after an index was removed = %+v, want one without a map and with one removed shard", changes)
	}
	for name, patch := range map[string]string{
		"shard map version": `{"indices":{"a":{"layout":{"version":9}}}}`,
		"no shards":         `{"indices":{"c":{"class":"x","spread":{"slices":0,"sets":[["s"]]}}}}`,
		"two descriptions":  `{"indices":{"c":{"class":"x","slices":[1],"spread":{"slices":1,"sets":[["s"]]}}}}`,
		"incomplete coverage": `{"indices":{"c":{"class":"x","layout":{"version":1,"slices":[
			{"id":1048576,"range":"0-ff","epoch":1,"holders":["s"]}]}}}}`,
	} {
		t.Run(name, func(t *testing.T) { mustReject(t, parsed, patch) })
	}
}

// Guards against a key of many elements that ends the process by a stack overflow: it is rejected with the text that the
// whole document gives where the stack suffices, as the text is replicated.
func TestPatchRejectsDeepDottedKey(t *testing.T) {
	const tooDeep = "invalid settings: invalid character '{' exceeded max depth"
	for _, elements := range []int{maxNestedObjects + 1, maxNestedObjects + 2, 2 * maxNestedObjects, 500_000} {
		_, err := (&Config{}).Patch([]byte(`{"` + strings.Repeat("a.", elements-1) + `a":1}`))
		if err == nil || err.Error() != tooDeep {
			t.Errorf("key of %d elements: error = %v, want %s", elements, err, tooDeep)
		}
	}
}

// Guards against a document that takes more memory than the process may use, at each member and again at each start: the
// slices of all indices together are limited where it is proposed. What has more already can be changed and removed.
func TestProposedShardsAreLimited(t *testing.T) {
	const limit = 5
	spread := func(index string, shards int) []byte {
		return fmt.Appendf(nil, `{"indices":{%q:{"class":"c","spread":{"slices":%d,"sets":[["a"]]}}}}`, index, shards)
	}
	first, err := (&Config{}).ProposePatch(spread("a", 3), limit)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := first.ProposePatch(spread("b", 2), limit); err != nil {
		t.Errorf("%d slices: %v", limit, err)
	}
	for _, shards := range []int{3, 200_000, math.MaxInt} {
		if _, err := first.ProposePatch(spread("b", shards), limit); !errors.Is(err, ErrInvalid) {
			t.Errorf("3 and %d slices: error = %v, want ErrInvalid", shards, err)
		}
	}
	large, err := first.Patch(spread("b", 30)) // as an earlier version of the program accepted
	if err != nil {
		t.Fatal(err)
	}
	for _, patch := range []string{`{"search.max_result_window":5}`, `{"indices":{"b":null}}`} {
		if _, err := large.ProposePatch([]byte(patch), limit); err != nil {
			t.Errorf("patch %s of a document above the limit: %v", patch, err)
		}
	}
}
