package adminapi

import (
	"bytes"
	"errors"
	"testing"

	"linkpass/internal/goldentest"
)

func TestReadBackupRejectsInvalidBackup(t *testing.T) {
	backup := goldentest.Read(t, "backup.json")
	replaced := func(old, by string) []byte {
		t.Helper()
		if !bytes.Contains(backup, []byte(old)) {
			t.Fatalf("the golden backup does not contain %q", old)
		}
		return bytes.Replace(backup, []byte(old), []byte(by), 1)
	}
	for _, c := range []struct {
		name string
		data []byte
		want error // nil: any error
	}{
		{"truncated", backup[:len(backup)/2], nil},
		{"other format", replaced(`"format":1`, `"format":2`), ErrBackupFormat},
		{"changed document", replaced(`"max_result_window":50`, `"max_result_window":51`), ErrBackupCorrupt},
		{"changed checksum", replaced(`"sum":"`, `"sum":"0`), ErrBackupCorrupt},
	} {
		t.Run(c.name, func(t *testing.T) {
			doc, err := ReadBackup(c.data)
			if err == nil || doc != nil || !errors.Is(err, c.want) && c.want != nil {
				t.Errorf("ReadBackup = %+v, %v; want no document and the error %v", doc, err, c.want)
			}
		})
	}
}
