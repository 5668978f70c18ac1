package handover

import (
	"bytes"
	"errors"
	"testing"
)

func TestParseShare(t *testing.T) {
	for _, c := range []struct {
		name, message string
		want          Share
		err           error
	}{
		{"two processes", "processes=2 open=80\n", Share{Processes: 2, MaxOpen: 80}, nil},
		{"unlimited", "processes=3 open=0\n", Share{Processes: 3, MaxOpen: 0}, nil},
		{"one process", "processes=1 open=80\n", Share{}, errInvalidShare},
		{"negative limit", "processes=2 open=-1\n", Share{}, errInvalidShare},
		{"no number", "processes=two open=80\n", Share{}, errInvalidShare},
		{"missing field", "processes=2\n", Share{}, errInvalidShare},
		{"other text", "hello\n", Share{}, errInvalidShare},
		{"empty", "\n", Share{}, errInvalidShare},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseShare(c.message)
			if got != c.want || !errors.Is(err, c.err) {
				t.Fatalf("parseShare(%q) = %+v, %v, want %+v, %v", c.message, got, err, c.want, c.err)
			}
			if err != nil {
				return
			}
			var encoded bytes.Buffer
			if err := got.write(&encoded); err != nil || encoded.String() != c.message {
				t.Errorf("encoded again: %q, %v, want %q", &encoded, err, c.message)
			}
		})
	}
}
