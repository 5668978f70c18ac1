package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"

	"linkpass/internal/config/restriction"
	"linkpass/internal/config/rollback"
	"linkpass/internal/http1"
	"linkpass/internal/store"
)

// These are the paths at which the members of the store call each other, besides the traffic of the log.
const (
	restrictionsPath = "/_linkpass/orders"  // broadcasts pending restrictions
	versionPath      = "/_linkpass/version" // reads the version of the member's state
	// confirmedVersionPath reads the leader's version, after a quorum has confirmed it.
	confirmedVersionPath = "/_linkpass/confirmed_version"
	positionPath         = "/_linkpass/marks" // reports how far the log of the caller is
)

// errConflict means a response with status 409, whose body gives the reason.
var errConflict = errors.New("status 409")

// reportPosition reports to another member how far this one's log is. The error is rollback.ErrRolledBack if the member
// rejects the report.
func reportPosition(ctx context.Context, m store.Member, r rollback.Report) error {
	body, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("position report: %w", err)
	}
	reason, err := callMember(ctx, m.HTTP, "POST", positionPath, body)
	if errors.Is(err, errConflict) {
		err = fmt.Errorf("%w (%s)", rollback.ErrRolledBack, strings.TrimSpace(string(reason)))
	}
	return err
}

// leaderVersion asks the leader for the version of its state. A member that does not lead, or runs an older version of
// the program, gives an error.
func leaderVersion(ctx context.Context, leader store.Member) (uint64, error) {
	return callForVersion(ctx, leader, confirmedVersionPath)
}

// memberVersion asks another member for the version of its state.
func memberVersion(ctx context.Context, m store.Member) (uint64, error) {
	return callForVersion(ctx, m, versionPath)
}

// callForVersion makes a call whose response is a version.
func callForVersion(ctx context.Context, m store.Member, path string) (uint64, error) {
	text, err := callMember(ctx, m.HTTP, "GET", path, nil)
	if err != nil {
		return 0, err
	}
	version, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s at %s: %w", path, m.HTTP, err)
	}
	return version, nil
}

// broadcastTo returns the function that sends this instance's pending restrictions to the member at addr.
func broadcastTo(instance, addr string) func(context.Context, []restriction.Request) error {
	return func(ctx context.Context, pending []restriction.Request) error {
		body, err := json.Marshal(pending)
		if err != nil {
			return fmt.Errorf("restrictions: %w", err)
		}
		_, err = callMember(ctx, addr, "POST", restrictionsPath+"?from="+instance, body)
		return err
	}
}

// callMember makes one HTTP call to another member within the context's deadline, and returns the body of the response.
// A status other than 200 is an error. With status 409 the error is errConflict, and the body is returned too.
func callMember(ctx context.Context, addr, method, path string, body []byte) ([]byte, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	if err := http1.WriteRequest(conn, method, path, addr, nil, body); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	res, err := http1.NewReader(conn, 0).Response()
	switch {
	case err != nil:
		return nil, fmt.Errorf("%s at %s: %w", path, addr, err)
	case res.Status == 409:
		return res.Body, fmt.Errorf("%s at %s: %w", path, addr, errConflict)
	case res.Status != 200:
		return nil, fmt.Errorf("%s at %s: status %d", path, addr, res.Status)
	}
	return res.Body, nil
}
