package opensearch

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/goldentest"
	"linkpass/internal/outcome"
	"linkpass/internal/shardmap"
	"linkpass/internal/upstream"
)

func TestServerRequestsGolden(t *testing.T) {
	payload := []byte(`{"from":0,"query":{"match":{"name":"li"}},"size":3}`)
	fixed := upstream.Part{Name: "n0-1.3", Collection: "players", Shard: 3, Timeout: 240 * time.Millisecond, Payload: payload}
	dynamic := upstream.Part{
		Name:       "n0-1.4",
		Collection: "pl/ayers",
		Shard:      9,
		Timeout:    time.Microsecond,
		Payload:    payload,
		Request:    goldenShardRequest(),
	}
	platformPart := upstream.Part{Name: "q.3", Shard: 3, Timeout: time.Second, Payload: []byte("c41e77d0")}
	codec := Codec{}
	for _, c := range []struct {
		file string
		got  []byte
	}{
		{"server_part_fixed.http", codec.EncodeRequest([]upstream.Part{fixed})},
		{"server_part_layout.http", codec.EncodeRequest([]upstream.Part{dynamic})},
		{"server_part_plain.http", codec.EncodeRequest([]upstream.Part{platformPart})},
		{"server_head_fixed.http", codec.EncodeHeader(fixed, 123456)},
		{"server_head_layout.http", codec.EncodeHeader(dynamic, 123456)},
		{"server_probe.http", codec.EncodeHealthCheck("check-7")},
	} {
		t.Run(c.file, func(t *testing.T) { goldentest.Bytes(t, c.file, sortedHead(t, c.got)) })
	}
	if got := codec.EncodeHeader(platformPart, 1); got != nil {
		t.Errorf("EncodeHeader of a platform part = %q, want nil", got)
	}
}

func TestServerResponsesGolden(t *testing.T) {
	codec := Codec{ReportNames: []string{"active", "cpu"}}
	for _, c := range []struct {
		file string
		want upstream.Message
	}{
		{"server_answer.http", goldenMessage(t)},
		{"server_answer_timed_out.http", upstream.Message{Outcome: outcome.ServerError}},
		{"server_answer_failed.http", upstream.Message{Outcome: outcome.ServerError}},
		{"server_answer_short.http", upstream.Message{Outcome: outcome.ServerError}},
		{"server_moved.http", upstream.Message{Outcome: outcome.ShardMoved, ShardMapVersion: 9}},
		{"server_rejected.http", upstream.Message{Outcome: outcome.Rejected}},
		{"server_error.http", upstream.Message{Outcome: outcome.ServerError, ConnCloses: true}},
		{"server_greeting.http", upstream.Message{
			HealthCheck: true,
			Outcome:     outcome.Success,
			Value:       goldenBody(t, "server_greeting.http"),
		}},
	} {
		t.Run(c.file, func(t *testing.T) {
			reader := codec.NewReader(bytes.NewReader(goldentest.Read(t, c.file)))
			got, _, err := reader.Next()
			c.want.LoadReport = []float64{3, 0.5} // every golden response has this load report
			if err != nil || !reflect.DeepEqual(got, c.want) {
				t.Errorf("Next() = %+v, %v\nwant %+v", got, err, c.want)
			}
		})
	}
	for _, file := range []string{"server_answer_without_counts.http", "server_answer_without_hits.http"} {
		t.Run(file, func(t *testing.T) {
			_, o, err := Codec{}.NewReader(bytes.NewReader(goldentest.Read(t, file))).Next()
			if err == nil || o != outcome.MalformedResponse {
				t.Errorf("Next() gave outcome %v and error %v, want MalformedResponse and an error", o, err)
			}
		})
	}
}

// goldenBody returns the body of a golden response.
func goldenBody(t *testing.T, file string) []byte {
	t.Helper()
	_, body, _ := bytes.Cut(goldentest.Read(t, file), []byte("\r\n\r\n"))
	return body
}

// goldenMessage returns the message of the golden response that has every field.
func goldenMessage(t *testing.T) upstream.Message {
	t.Helper()
	return upstream.Message{
		Outcome:         outcome.Success,
		Value:           goldenBody(t, "server_answer.http"),
		Score:           2.5,
		ShardMapVersion: 8,
		Covers:          &shardmap.Range{First: 1, Last: 0xff},
		Hits: &coordinator.Hits{Total: 12, AtLeast: true, List: []coordinator.Hit{
			{ID: "7", Score: 2.5, Source: []byte(`{"name":"li"}`)},
			{ID: "8", Source: []byte(`{"name":"wu"}`)},
		}},
	}
}
