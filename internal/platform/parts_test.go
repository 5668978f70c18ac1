package platform

import (
	"testing"

	"pgregory.net/rapid"
)

const shardCount = 6

func TestDecodePartsRejectsTruncatedBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cut := rapid.IntRange(0, len(validBody)-1).Draw(t, "at")
		if _, err := decodeParts([]byte(validBody[:cut]), shardCount); err == nil {
			t.Fatal("truncated body was accepted, want an error")
		}
		parts, err := decodeParts(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"), shardCount)
		if err == nil && len(parts) == 0 {
			t.Fatal("arbitrary bytes were accepted as a body without parts, want an error")
		}
	})
}

// The errors of package json contain the names of Go types and fields. Renaming those must not change the texts that
// clients receive.
func TestDecodePartsErrorTextsAreStable(t *testing.T) {
	const part = `struct { ID *int "json:\"id\""; W float64 "json:\"w\""; Hint float64 "json:\"hint\""; Tag string "json:\"tag\"" }`
	for _, c := range []struct{ body, want string }{
		{
			`{"parts":[{"id":"x","w":1}],"expr":"x"}`,
			"body: json: cannot unmarshal string into Go struct field .parts.id of type int",
		},
		{
			`{"parts":[{"id":1,"w":1}],"expr":1}`,
			"body: json: cannot unmarshal number into Go struct field body.expr of type string",
		},
		{`{"parts":{}}`, "body: json: cannot unmarshal object into Go struct field body.parts of type []" + part},
		{`{"parts":[1]}`, "body: json: cannot unmarshal number into Go struct field body.parts of type " + part},
		{`[]`, "body: json: cannot unmarshal array into Go value of type platform.body"},
	} {
		t.Run(c.body, func(t *testing.T) {
			if _, err := decodeParts([]byte(c.body), shardCount); err == nil || err.Error() != c.want {
				t.Errorf("got  %v\nwant %s", err, c.want)
			}
		})
	}
}
