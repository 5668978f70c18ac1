package handover

import (
	"errors"
	"fmt"
	"io"
)

// shareFormat is the one message of the protocol, from the leader to a follower. Processes of other versions read it.
const shareFormat = "processes=%d open=%d\n"

// errInvalidShare says that a message is no valid share.
var errInvalidShare = errors.New("invalid share")

// Share is the part of the limits that a process may use.
type Share struct {
	Processes int // in the group; each has an equal part of memory and descriptors
	MaxOpen   int // queries and shard requests that this one may have in flight
}

// write sends a share to a follower.
func (s Share) write(w io.Writer) error {
	_, err := fmt.Fprintf(w, shareFormat, s.Processes, s.MaxOpen)
	return err
}

// parseShare decodes a message of the leader, which has a follower and so at least two processes.
func parseShare(message string) (Share, error) {
	var s Share
	if _, err := fmt.Sscanf(message, shareFormat, &s.Processes, &s.MaxOpen); err != nil {
		return Share{}, fmt.Errorf("%w: %w", errInvalidShare, err)
	}
	if s.Processes < 2 || s.MaxOpen < 0 {
		return Share{}, fmt.Errorf("%w: %d processes, %d open", errInvalidShare, s.Processes, s.MaxOpen)
	}
	return s, nil
}
