package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/resharding"
)

const (
	recordsPerPage = 50              // largest number of records in a page
	pageTimeout    = 2 * time.Second // for the request of one page
)

// errNoSource is the error for a source that names no other server.
var errNoSource = errors.New("emulator: no server to copy from")

// statusError is a response with a status other than 200 to a request for records.
type statusError struct{ status int }

func (e *statusError) Error() string { return fmt.Sprintf("status %d, want 200", e.status) }

// copyClient is shared by all servers. Its idle connections close when the server at the other end is killed, or after
// IdleConnTimeout.
var copyClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 5 * time.Second}}

// copyShard copies a shard's records from its sources, at the server's copy rate, until it has them all or ctx ends.
// After an error the shard is empty, and the next assignment starts the copy again.
func (s *Server) copyShard(ctx context.Context, index string, shard *shardReplica, sources []resharding.Source) {
	records, err := s.copySources(ctx, index, shard, sources)
	s.mu.Lock()
	defer s.mu.Unlock()
	shard.copying = false
	if err != nil {
		shard.records = nil
		return
	}
	slices.SortFunc(records, compareKeys)
	shard.records, shard.complete = records, true
}

func (s *Server) copySources(ctx context.Context, index string, shard *shardReplica, sources []resharding.Source) (records []Record, err error) {
	for _, source := range sources {
		found, err := s.copySource(ctx, index, source, func(n int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			shard.records = make([]Record, len(records)+n) // empty records: the status reports only their number
		})
		if err != nil {
			return nil, err
		}
		records = append(records, found...)
	}
	return records, nil
}

// copySource returns the records of a source's range. It takes them from this server if it holds them; otherwise it
// fetches them from the first of the source's servers that has all of them. It returns errNoSource if the source names
// no other server, or else the error of the last server.
func (s *Server) copySource(ctx context.Context, index string, source resharding.Source, progress func(int)) (records []Record, err error) {
	if local := s.lookUp(index, source.Shard, source.Range); local.ready {
		return local.records, nil
	}
	err = fmt.Errorf("copy range %s of index %s: %w", source.Range, index, errNoSource)
	for _, name := range source.Servers {
		if name == s.Name {
			continue
		}
		if records, err = s.fetchRecords(ctx, name, index, source, progress); err == nil {
			return records, nil
		}
	}
	return nil, err
}

// fetchRecords fetches the records of a source's range from one server, page by page. After each page it calls progress
// with the number of records so far.
func (s *Server) fetchRecords(ctx context.Context, server, index string, source resharding.Source, progress func(int)) (records []Record, err error) {
	request := recordsRequest{index: index, shard: source.Shard, keys: source.Range}
	for {
		page, err := fetchPage(ctx, s.addrOf(server), request)
		if err != nil {
			return nil, fmt.Errorf("copy range %s of index %s from server %s: %w", source.Range, index, server, err)
		}
		for _, id := range page.IDs {
			records = append(records, Record{shardmap.HashKey(id), id})
		}
		progress(len(records))
		if s.capacity.CopyRate > 0 {
			time.Sleep(time.Duration(len(page.IDs)) * time.Second / time.Duration(s.capacity.CopyRate))
		}
		if page.Next == 0 {
			return records, nil
		}
		request.from = page.Next
	}
}

// fetchPage fetches a page of records. It returns a statusError if the response has a status other than 200, such as
// 409 from a server that does not hold the records.
func fetchPage(ctx context.Context, addr string, request recordsRequest) (page recordsPage, err error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+pathRecords+"?"+request.query(), nil)
	if err != nil {
		return page, err
	}
	res, err := copyClient.Do(req)
	if err != nil {
		return page, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return page, &statusError{res.StatusCode}
	}
	err = json.NewDecoder(res.Body).Decode(&page)
	return page, err
}

// serveRecords answers with a page of the records of a complete shard. The status is 400 for a malformed request, and
// 409 if the server does not hold the complete shard or the page begins beyond its end.
func (s *Server) serveRecords(w http.ResponseWriter, r *http.Request) {
	request, ok := parseRecordsRequest(r.URL.Query())
	if !ok {
		http.Error(w, malformedRecordsText, http.StatusBadRequest)
		return
	}
	result := s.lookUp(request.index, request.shard, request.keys)
	if !result.ready || request.from > len(result.records) {
		http.Error(w, recordsNotHeldText, http.StatusConflict)
		return
	}
	_ = json.NewEncoder(w).Encode(pageOf(result.records, request.from))
}

// pageOf returns the page that begins at an offset. The offset is at most len(records).
func pageOf(records []Record, from int) (page recordsPage) {
	end := min(len(records), from+recordsPerPage)
	for _, record := range records[from:end] {
		page.IDs = append(page.IDs, record.ID)
	}
	if end < len(records) {
		page.Next = end
	}
	return page
}
