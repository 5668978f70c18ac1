package platform

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"linkpass/internal/bodystore"
	"linkpass/internal/bodystore/tier"
	"linkpass/internal/coordinator"
	"linkpass/internal/goldentest"
	"linkpass/internal/outcome"
)

// requestCase is a request and the name of the golden response that it must get.
type requestCase struct{ name, request string }

func TestResponseGolden(t *testing.T) {
	var got []goldentest.Entry
	add := func(name string, f *Front, request string) {
		got = append(got, goldentest.Entry{Name: name, Data: exchange(t, f, request)})
	}
	for _, c := range goldenAnswers() {
		add(c.name, goldenFront(&fakeCore{answer: c.answer}), goldenRequest(t))
	}
	add("ready", goldenFront(&fakeCore{}), getRequest("/health/ready"))
	notReady := goldenFront(&fakeCore{})
	notReady.Ready = func() bool { return false }
	add("not ready", notReady, getRequest("/health/ready"))
	large := requestWithBody(t, `{"parts":[{"id":0,"w":1}],"expr":"`+strings.Repeat("x", bodystore.InlineLimit+1)+`"}`)
	add("no room for the body", frontWithFullStore(t, ""), large)
	add("no room for the body, with retry after", frontWithFullStore(t, "2"), large)
	for _, c := range append(invalidHeaders(t), invalidBodies(t)...) {
		add(c.name, goldenFront(&fakeCore{}), c.request)
	}
	c := &fakeCore{answer: coordinator.Answer{Status: coordinator.Answered}}
	f := goldenFront(c)
	c.onSubmit = func() {
		c.onSubmit = nil
		add("request id of an open query", f, goldenRequest(t))
	}
	exchange(t, f, goldenRequest(t))
	goldentest.CheckEntries(t, "responses.txt", got)
}

// answerCase is an answer of the core and the name of the golden response that it must be encoded to.
type answerCase struct {
	name   string
	answer coordinator.Answer
}

func goldenAnswers() []answerCase {
	values := []coordinator.Value{
		{Shard: 3, Data: []byte("5be2")},
		{Shard: 5, Data: []byte("<a & \"b\">\n\u00e9\u2028\xff")},
	}
	evicted := []coordinator.MissingPart{
		{Shard: 3, LastOutcome: outcome.Success},
		{Shard: 5, LastOutcome: outcome.BodyEvicted, Attempted: true, BodyEvicted: true},
	}
	return []answerCase{
		{"complete answer", coordinator.Answer{Status: coordinator.Answered, Complete: true, Values: values}},
		{"partial answer", coordinator.Answer{Status: coordinator.Answered, Values: values[:1], Missing: evicted}},
		{"answer without rows", coordinator.Answer{Status: coordinator.Answered}},
		{"overloaded", coordinator.Answer{Status: coordinator.Rejected}},
		{"overloaded, with retry after", coordinator.Answer{Status: coordinator.Rejected, RetryAfter: 1375 * time.Millisecond}},
		{
			"overloaded, body no longer kept",
			coordinator.Answer{Status: coordinator.Rejected, Missing: evicted, RetryAfter: time.Millisecond},
		},
		{"failed", coordinator.Answer{Status: coordinator.Failed}},
		{"failed, body no longer kept", coordinator.Answer{Status: coordinator.Failed, Missing: evicted}},
	}
}

func invalidHeaders(t *testing.T) []requestCase {
	t.Helper()
	return []requestCase{
		{"unknown class", requestReplacing(t, "/checkout", "/nowhere")},
		{"other method", getRequest("/checkout")},
		{"class of header and path differ", requestReplacing(t, "X-Priority-Class: checkout", "X-Priority-Class: browse")},
		{"request id missing", requestReplacing(t, "X-Request-ID: 9b1f03aa5c7e2d41\r\n", "")},
		{"request id with a space", requestReplacing(t, "X-Request-ID: 9b1f03aa5c7e2d41", "X-Request-ID: 9b1f 03aa")},
		{"timeout missing", requestReplacing(t, "X-Timeout-Ms: 480\r\n", "")},
		{"timeout not a number", requestReplacing(t, "X-Timeout-Ms: 480", "X-Timeout-Ms: soon")},
		{"unknown tenant", requestReplacing(t, "X-Tenant-ID: south coast", "X-Tenant-ID: east")},
	}
}

func invalidBodies(t *testing.T) []requestCase {
	t.Helper()
	return []requestCase{
		{"body not JSON", requestWithBody(t, `{`)},
		{"body without parts", requestWithBody(t, `{"expr":"x"}`)},
		{"body without expr", requestWithBody(t, `{"parts":[{"id":0,"w":1}]}`)},
		{"part without id", requestWithBody(t, `{"parts":[{"w":1}],"expr":"x"}`)},
		{"part of no slice", requestWithBody(t, `{"parts":[{"id":6,"w":1}],"expr":"x"}`)},
		{"part given twice", requestWithBody(t, `{"parts":[{"id":1,"w":0.5},{"id":1,"w":0.5}],"expr":"x"}`)},
		{"weight out of range", requestWithBody(t, `{"parts":[{"id":1,"w":1.5}],"expr":"x"}`)},
		{"hint out of range", requestWithBody(t, `{"parts":[{"id":1,"w":1,"hint":-1}],"expr":"x"}`)},
		{"tag not hexadecimal", requestWithBody(t, `{"parts":[{"id":1,"w":1,"tag":"xyz"}],"expr":"x"}`)},
		{"weights do not add up", requestWithBody(t, `{"parts":[{"id":1,"w":0.5}],"expr":"x"}`)},
	}
}

// goldenRequest returns the golden request that has every field.
func goldenRequest(t *testing.T) string {
	t.Helper()
	return goldentest.ReadEntries(t, "requests.txt")["every field"]
}

// requestReplacing returns the golden request with old replaced by text.
func requestReplacing(t *testing.T, old, text string) string {
	t.Helper()
	request := goldenRequest(t)
	if !strings.Contains(request, old) {
		t.Fatalf("golden request does not contain %q", old)
	}
	return strings.Replace(request, old, text, 1)
}

// requestWithBody returns the golden request with another body.
func requestWithBody(t *testing.T, body string) string {
	t.Helper()
	head, _, _ := strings.Cut(goldenRequest(t), "Content-Length: ")
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: router\r\n\r\n" }

// frontWithFullStore returns a front whose body store has no capacity for any large payload.
func frontWithFullStore(t *testing.T, retryAfter string) *Front {
	t.Helper()
	f := goldenFront(&fakeCore{})
	s := bodystore.Open(bodystore.Config{
		Limits:   tier.Limits{Memory: 16, MaxMemoryBodySize: 16},
		Classes:  f.Classes,
		Counters: f.Counters,
		Now:      func() time.Duration { return 0 },
	})
	t.Cleanup(s.Close)
	f.BodyStore, f.PriorityWeights, f.RetryAfter = s, []float64{1, 2}, retryAfter
	return f
}
