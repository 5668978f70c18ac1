package searchconfig

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"linkpass/internal/shardmap"

	_ "linkpass/internal/seeded"
)

const validDocument = `{"search":{"default_search_timeout":"500ms"},"indices":{"players":{"class":"team-lookup","slices":[0,1]}},"servers":{"s-1":{"protocol":"search"}}}`

func TestConfigPatch(t *testing.T) {
	c, err := Parse([]byte(validDocument))
	if err != nil || c.Timeout() != 500*time.Millisecond || c.Protocol("s-1") != ProtocolSearch || c.Protocol("s-2") != ProtocolPlain ||
		c.MaxResultWindow() != 10000 || !c.AllowPartial() {
		t.Fatalf("%+v %v", c, err)
	}
	next, err := c.Patch([]byte(`{"servers":{"s-1":null},"indices.players.slices":[2],"search":{"default_allow_partial_results":false}}`))
	if err != nil || next.Protocol("s-1") != ProtocolPlain || next.Indices["players"].Shards[0] != 2 ||
		next.Indices["players"].Class != "team-lookup" || next.AllowPartial() || next.Timeout() != 500*time.Millisecond {
		t.Errorf("%+v %v", next, err)
	}
	if c.Protocol("s-1") != ProtocolSearch || !c.AllowPartial() {
		t.Error("the patch changed a published catalog")
	}
	for _, bad := range []string{`{"indices":{"Players":{"class":"a","slices":[1]}}}`, `{"indices.players.slices":[1,1]}`,
		`{"indices.players.slices":[-1]}`, `{"indices.players.slices":[]}`, `{"servers.s-1.protocol":"telnet"}`,
		`{"unheard":1}`, `{"search.default_search_timeout":"soon"}`, `{"search.max_result_window":-1}`, `[]`, `{} {}`} {
		if _, err := c.Patch([]byte(bad)); !errors.Is(err, ErrInvalid) {
			t.Errorf("took %s: %v", bad, err)
		}
	}
}

func TestParseDuration(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "-1": 0, "3micros": 3 * time.Microsecond, "2s": 2 * time.Second, "1m": time.Minute} {
		if got, err := ParseDuration(text); err != nil || got != want {
			t.Errorf("%q: %v %v", text, got, err)
		}
	}
	for _, bad := range []string{"5", "0s", "-2s", "1.5s", "s", "99999999999d"} {
		if _, err := ParseDuration(bad); err == nil {
			t.Errorf("took %q", bad)
		}
	}
}

func TestParseRejectsTruncatedDocument(t *testing.T) {
	base := &Config{}
	rapid.Check(t, func(t *rapid.T) {
		if _, err := Parse([]byte(validDocument[:rapid.IntRange(0, len(validDocument)-1).Draw(t, "at")])); err == nil {
			t.Fatal("took a cut document")
		}
		_, _ = base.Patch(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
		_, _ = ParseDuration(rapid.String().Draw(t, "time"))
	})
}

// Layouts go along with the document: spread once, shared where they did not change, told as news, and
// changed by steps only.
func TestShardMapsOfDocument(t *testing.T) {
	one, err := Parse([]byte(`{"search":{},"indices":{"a":{"class":"x","spread":{"slices":3,"sets":[["s"]]}},"b":{"class":"x","spread":{"slices":1,"sets":[["t"]]}}}}`))
	if err != nil {
		t.Fatal(err)
	}
	if news := one.ShardMapChanges(nil); len(news) != 2 || len(news[0].Added) != 3 {
		t.Errorf("at first: %+v", news)
	}
	next, err := one.ShardMap("a").Apply(shardmap.Command{Request: &shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{shardmap.FirstDynamicID}, Pieces: 2}})
	if err != nil {
		t.Fatal(err)
	}
	two := one.WithShardMap("a", next)
	two.Revision = 1
	data, err := json.Marshal(two)
	if err != nil {
		t.Fatal(err)
	}
	back, err := ParseUpdate(data, one)
	if err != nil || back.ShardMap("b") != one.ShardMap("b") || back.ShardMap("a").Version() != 2 || one.ShardMap("a").Version() != 1 {
		t.Errorf("read back: %v", err)
	}
	if news := back.ShardMapChanges(one); len(news) != 1 || news[0].Collection != "a" || len(news[0].Added)+len(news[0].Removed) != 0 {
		t.Errorf("a plan moves no slice yet: %+v", news)
	}
	gone, err := back.Patch([]byte(`{"indices":{"b":null}}`))
	if err != nil {
		t.Fatal(err)
	}
	if news := gone.ShardMapChanges(back); len(news) != 1 || news[0].Map != nil || len(news[0].Removed) != 1 {
		t.Errorf("an index that goes: %+v", news)
	}
	for _, bad := range []string{`{"indices":{"a":{"layout":{"version":9}}}}`, `{"indices":{"c":{"class":"x","spread":{"slices":0,"sets":[["s"]]}}}}`,
		`{"indices":{"c":{"class":"x","slices":[1],"spread":{"slices":1,"sets":[["s"]]}}}}`,
		`{"indices":{"c":{"class":"x","layout":{"version":1,"slices":[{"id":1048576,"range":"0-ff","epoch":1,"holders":["s"]}]}}}}`} {
		if _, err := back.Patch([]byte(bad)); !errors.Is(err, ErrInvalid) {
			t.Errorf("took %s: %v", bad, err)
		}
	}
}
