package opensearch

import (
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// readParams reads the parameters of the URL, which override the body. They are read in the order of their
// names, so that the same one of several errors is returned each time.
func (s *searchRequest) readParams(params string) error {
	values, err := url.ParseQuery(params)
	if err != nil {
		return illegalArgument("%v", err)
	}
	s.preferredShards, s.preferredRanges = nil, nil
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if err := s.readParam(name, values.Get(name)); err != nil {
			return err
		}
	}
	return nil
}

func (s *searchRequest) readParam(name, text string) (err error) {
	switch name {
	case "from":
		s.from, err = parseIntParam(name, text)
	case "size":
		s.size, err = parseIntParam(name, text)
	case "timeout":
		err = s.readTimeout(text)
	case "allow_partial_search_results":
		err = s.readAllowPartial(text)
	case "preference":
		err = s.readPreference(text)
	case "routing":
		s.routingValues = strings.Split(text, ",")
		if len(s.routingValues) > maxSelectors {
			err = illegalArgument("more than %d routing values", maxSelectors)
		}
	default:
		err = illegalArgument("request [_search] contains unrecognized parameter: [%.40s]", name)
	}
	return err
}

func parseIntParam(name, text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, illegalArgument("Failed to parse int parameter [%s] with value [%.40s]", name, text)
	}
	return n, nil
}

func (s *searchRequest) readTimeout(text string) error {
	d, err := searchconfig.ParseDuration(text)
	if err != nil {
		return illegalArgument("%v", err)
	}
	s.timeout = d
	return nil
}

func (s *searchRequest) readAllowPartial(text string) error {
	allow, err := strconv.ParseBool(text)
	if err != nil {
		return invalidBool(text)
	}
	s.allowPartial = allow
	return nil
}

// readPreference reads which shards of the index are searched, as _shards:N,… or, for an index with a shard map,
// as key ranges: _ranges:FIRST-LAST,…
func (s *searchRequest) readPreference(text string) error {
	kind, list, _ := strings.Cut(text, ":")
	if kind != "_shards" && kind != "_ranges" {
		return illegalArgument("preference [%.40s] is not supported", text)
	}
	items := strings.Split(list, ",")
	if len(items) > maxSelectors {
		return illegalArgument("preference names more than %d shards or ranges", maxSelectors)
	}
	for _, item := range items {
		if kind == "_ranges" {
			r, err := shardmap.ParseRange(item)
			if err != nil {
				return illegalArgument("%v", err)
			}
			s.preferredRanges = append(s.preferredRanges, r)
			continue
		}
		n, err := strconv.Atoi(item)
		if err != nil || n < 0 || slices.Contains(s.preferredShards, n) {
			return illegalArgument("preference has an invalid or repeated shard: [%.40s]", item)
		}
		s.preferredShards = append(s.preferredShards, n)
	}
	return nil
}
