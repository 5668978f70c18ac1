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

// backupFormat is the version of the format of Backup.
const backupFormat = 1

var (
	// ErrBackupFormat is returned for a backup in a format that this version cannot read.
	ErrBackupFormat = errors.New("unknown backup format")
	// ErrBackupCorrupt is returned for a backup whose checksum does not match its document.
	ErrBackupCorrupt = errors.New("it was changed or cut")
)

// Backup is a copy of the store's document that is kept outside the store.
type Backup struct {
	Format   int             `json:"format"`
	Taken    time.Time       `json:"taken"`
	Revision uint64          `json:"revision"`
	Sum      string          `json:"sum"` // BLAKE3 hash of the compact document, in hexadecimal
	Document json.RawMessage `json:"document"`
}

// newBackup returns a backup of a document that is encoded as compact JSON.
func newBackup(document []byte, revision uint64, taken time.Time) Backup {
	return Backup{
		Format:   backupFormat,
		Taken:    taken,
		Revision: revision,
		Sum:      checksum(document),
		Document: document,
	}
}

// ReadBackup decodes a backup, verifies its format and checksum, and returns its validated document. The error wraps
// ErrBackupFormat or ErrBackupCorrupt if the format or the checksum is wrong.
func ReadBackup(data []byte) (*searchconfig.Config, error) {
	var b Backup
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	if b.Format != backupFormat {
		return nil, fmt.Errorf("backup: %w %d", ErrBackupFormat, b.Format)
	}
	var compact bytes.Buffer // the checksum covers the compact form, so the file may be indented
	if err := json.Compact(&compact, b.Document); err != nil {
		return nil, fmt.Errorf("backup: compact document: %w", err)
	}
	if got := checksum(compact.Bytes()); got != b.Sum {
		return nil, fmt.Errorf("backup: checksum is %.16s…, expected %.16s…: %w", got, b.Sum, ErrBackupCorrupt)
	}
	doc, err := searchconfig.Parse(compact.Bytes())
	if err != nil {
		return nil, fmt.Errorf("backup: document: %w", err)
	}
	return doc, nil
}

// checksum returns the BLAKE3 hash of data in hexadecimal.
func checksum(data []byte) string {
	h := blake3.Sum256(data)
	return hex.EncodeToString(h[:])
}
