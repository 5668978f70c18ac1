package daemon

import (
	"encoding/hex"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/BurntSushi/toml"

	"linkpass/internal/adminapi/signature"
)

// keyring verifies the signed calls of the admin API.
type keyring struct {
	mu       sync.Mutex          // guards verifier
	verifier *signature.Verifier // nil before open, when every call is rejected
}

// set replaces the keys by those of a reload. It does nothing before open.
func (k *keyring) set(ring signature.KeyRing) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.verifier != nil {
		k.verifier.SetKeys(ring)
	}
}

// open starts to admit calls that are signed with a key of ring and whose time is off by at most window.
func (k *keyring) open(ring signature.KeyRing, window time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.verifier = signature.NewVerifier(ring, window, time.Now())
}

// check returns why a call is rejected, or nil if it is admitted.
func (k *keyring) check(header string, c signature.Call) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.verifier == nil {
		return signature.ErrInvalidSignature
	}
	_, err := k.verifier.Verify(time.Now(), header, c)
	return err
}

const maxKeyFile = 64 << 10 // bytes

// ReadKeyRing reads a file of keys in TOML, with an id and a key in hexadecimal on each line. It returns an error if
// other users may read the file.
func ReadKeyRing(path string) (signature.KeyRing, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("keys %s can be read by others (%s): chmod 600", path, info.Mode().Perm())
	}
	if info.Size() > maxKeyFile {
		return nil, fmt.Errorf("keys %s has %d bytes, more than %d", path, info.Size(), maxKeyFile)
	}
	var texts map[string]string
	if _, err := toml.DecodeFile(path, &texts); err != nil {
		return nil, fmt.Errorf("keys %s: %w", path, err)
	}
	ring := signature.KeyRing{}
	for id, text := range texts {
		if ring[id], err = hex.DecodeString(text); err != nil {
			return nil, fmt.Errorf("keys %s: key %.80q is not in hexadecimal", path, id)
		}
	}
	if err := ring.Validate(); err != nil {
		return nil, fmt.Errorf("keys %s: %w", path, err)
	}
	return ring, nil
}
