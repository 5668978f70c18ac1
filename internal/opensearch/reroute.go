package opensearch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"

	"linkpass/internal/http1"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

const (
	reroutePath = "/_cluster/reroute"

	maxRerouteCommands = 64 // of one request
)

// SettingsUpdater changes the replicated settings.
type SettingsUpdater interface {
	// UpdateSettings replaces the settings with the result of change in a compare-and-set: change may be called
	// again with newer settings. It returns the new settings. Its error is that of change or one of package store.
	UpdateSettings(change func(*searchconfig.Config) (*searchconfig.Config, error)) (*searchconfig.Config, error)
}

// reroute serves POST /_cluster/reroute. It applies either all commands or none.
func (f *Front) reroute(req *http1.Request) *http1.Response {
	params, err := url.ParseQuery(req.Query)
	if err != nil {
		return f.reject(illegalArgument("%v", err))
	}
	commands, err := decodeReroute(req.Body)
	if err != nil {
		return f.reject(err)
	}
	if f.SettingsUpdater == nil {
		return f.reject(badRequest(errTypeIllegalState,
			"a layout can be changed in the replicated store only, and this instance has no store"))
	}
	dryRun, err := readDryRun(params)
	if err != nil {
		return f.reject(err)
	}
	changed := map[string]bool{}
	change := func(c *searchconfig.Config) (*searchconfig.Config, error) {
		clear(changed)
		return applyCommands(c, commands, changed)
	}
	var next *searchconfig.Config
	if dryRun {
		next, err = f.dryRun(change)
	} else {
		next, err = f.SettingsUpdater.UpdateSettings(change)
	}
	if err != nil {
		return f.rejectReroute(err)
	}
	return rerouteResponse(next, changed, dryRun)
}

// dryRun returns the settings after a change that is not made.
func (f *Front) dryRun(change func(*searchconfig.Config) (*searchconfig.Config, error)) (*searchconfig.Config, error) {
	config, err := f.currentConfig()
	if err != nil {
		return nil, err
	}
	return change(config)
}

// decodeReroute decodes the body of a request. The name of the type rerouteCommand is part of the error texts that
// clients get.
func decodeReroute(data []byte) ([]map[string]rerouteCommand, error) {
	var body struct {
		Commands []map[string]rerouteCommand `json:"commands"`
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		return nil, badRequest(errTypeParsing, err.Error())
	}
	_, err := d.Token()
	if !errors.Is(err, io.EOF) || len(body.Commands) == 0 || len(body.Commands) > maxRerouteCommands {
		return nil, illegalArgument("the body must have 1 to %d commands and nothing after them", maxRerouteCommands)
	}
	return body.Commands, nil
}

func readDryRun(params url.Values) (bool, error) {
	switch text := params.Get("dry_run"); text {
	case "true":
		return true, nil
	case "", "false":
		return false, nil
	default:
		return false, invalidBool(text)
	}
}

// applyCommands returns the settings after all commands. It adds the indices that get a new shard map to changed.
func applyCommands(
	c *searchconfig.Config, commands []map[string]rerouteCommand, changed map[string]bool,
) (*searchconfig.Config, error) {
	for i, command := range commands {
		if len(command) != 1 {
			return nil, fmt.Errorf("%w: command %d must be an object with one name", shardmap.ErrInvalidRequest, i)
		}
		for name, r := range command {
			m := c.ShardMap(r.Index)
			if m == nil {
				return nil, fmt.Errorf("%w: command %d: index %.80q has no layout that can change",
					shardmap.ErrNotFound, i, r.Index)
			}
			cmd, err := r.shardMapCommand(name, m)
			if err == nil {
				m, err = m.Apply(cmd)
			}
			if err != nil {
				return nil, fmt.Errorf("command %d (%.40s): %w", i, name, err)
			}
			c, changed[r.Index] = c.WithShardMap(r.Index, m), true
		}
	}
	return c, nil
}

func rerouteResponse(config *searchconfig.Config, changed map[string]bool, dryRun bool) *http1.Response {
	plans, versions := map[string][]shardmap.Plan{}, map[string]uint64{}
	for _, index := range slices.Sorted(maps.Keys(changed)) {
		if m := config.ShardMap(index); m != nil {
			plans[index], versions[index] = m.Plans(), m.Version()
		}
	}
	return jsonResponse(200, map[string]any{
		"acknowledged": true,
		"dry_run":      dryRun,
		"plans":        plans,
		"versions":     versions,
	})
}

// invalidCommandErrors are the errors of a command that can't be applied, as opposed to failures of the store.
var invalidCommandErrors = []error{
	shardmap.ErrVersionConflict,
	shardmap.ErrIncompleteCoverage,
	shardmap.ErrNoReplica,
	shardmap.ErrPlanOverlap,
	shardmap.ErrNotFound,
	shardmap.ErrInvalidTransition,
	shardmap.ErrInvalidRequest,
	shardmap.ErrLimitExceeded,
	shardmap.ErrDuplicateID,
	searchconfig.ErrInvalid,
}

// rejectReroute returns the response to a request whose commands were not applied.
func (f *Front) rejectReroute(err error) *http1.Response {
	isErr := func(target error) bool { return errors.Is(err, target) }
	if slices.ContainsFunc(invalidCommandErrors, isErr) {
		return f.reject(illegalArgument("%s", strings.TrimPrefix(err.Error(), "store: ")))
	}
	var unknown *apiError
	if errors.As(err, &unknown) {
		return f.reject(err)
	}
	return storeErrorResponse(err, reroutePath, f.Counters)
}
