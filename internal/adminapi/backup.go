package adminapi

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lukechampine.com/blake3"

	"linkpass/internal/searchconfig"
)

// backupFormat is the version of Backup's form.
const backupFormat = 1

var (
	// ErrBackupFormat says that a backup has a format which this version does not read.
	ErrBackupFormat = errors.New("unknown backup format")
	// ErrBackupCorrupt says that a backup's checksum does not match its document.
	ErrBackupCorrupt = errors.New("it was changed or cut")
)

// Backup is a document of the store, saved outside of it.
type Backup struct {
	Format   int             `json:"format"`
	Taken    time.Time       `json:"taken"`
	Revision uint64          `json:"revision"`
	Sum      string          `json:"sum"` // BLAKE3 of the document
	Document json.RawMessage `json:"document"`
}

// newBackup returns a backup of an encoded document.
func newBackup(document []byte, revision uint64, taken time.Time) Backup {
	return Backup{
		Format:   backupFormat,
		Taken:    taken,
		Revision: revision,
		Sum:      checksum(document),
		Document: document,
	}
}

// ReadBackup decodes a backup and checks that it is complete and valid.
func ReadBackup(data []byte) (*searchconfig.Config, error) {
	var b Backup
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	if b.Format != backupFormat {
		return nil, fmt.Errorf("backup: %w %d", ErrBackupFormat, b.Format)
	}
	var compact bytes.Buffer // the checksum is of the compact form, whatever the file's indentation
	if err := json.Compact(&compact, b.Document); err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	if got := checksum(compact.Bytes()); got != b.Sum {
		return nil, fmt.Errorf("backup: checksum is %.16s…, expected %.16s…: %w", got, b.Sum, ErrBackupCorrupt)
	}
	doc, err := searchconfig.Parse(compact.Bytes())
	if err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	return doc, nil
}

// checksum returns the BLAKE3 hash of data in hexadecimal.
func checksum(data []byte) string {
	h := blake3.Sum256(data)
	return hex.EncodeToString(h[:])
}
