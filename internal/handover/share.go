package handover

import (
	"errors"
	"fmt"
	"io"
)

// shareFormat is the protocol's only message, from the leader to a follower. Processes of other versions read it, too.
const shareFormat = "processes=%d open=%d\n"

// errInvalidShare reports a message that is not a valid share.
var errInvalidShare = errors.New("invalid share")

// Share is the part of the limits that a process may use.
type Share struct {
	Processes int // number in the group; each may use an equal part of the memory and the file descriptors
	MaxOpen   int // queries and shard requests that this process may have in flight; 0: no limit
}

// write sends a share to a follower.
func (s Share) write(w io.Writer) error {
	_, err := fmt.Fprintf(w, shareFormat, s.Processes, s.MaxOpen)
	return err
}

// parseShare decodes a message of the leader. Fewer than two processes are invalid: the leader and the follower that
// reads the message are in the group.
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
