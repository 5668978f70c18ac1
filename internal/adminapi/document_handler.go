package adminapi

import (
	"context"
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"linkpass/internal/http1"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

// restoreCheck is the response to a restore that only checks the backup.
type restoreCheck struct {
	Indices int  `json:"indices"`
	OK      bool `json:"ok"`
	Servers int  `json:"servers"`
}

// restoreResult is the response to a restore.
type restoreResult struct {
	ShardMapsKept int    `json:"layouts_kept"`
	OK            bool   `json:"ok"`
	Revision      uint64 `json:"revision"`
}

// readDocument returns the store's document.
func (h Handler) readDocument(ctx context.Context, req *http1.Request) *http1.Response {
	_, data, failed := h.encodedDocument(ctx, req)
	if failed != nil {
		return failed
	}
	return rawJSONResponse(200, data)
}

// backUpDocument returns a backup of the store's document.
func (h Handler) backUpDocument(ctx context.Context, req *http1.Request) *http1.Response {
	doc, data, failed := h.encodedDocument(ctx, req)
	if failed != nil {
		return failed
	}
	return jsonResponse(newBackup(data, doc.Revision, time.Now().UTC()))
}

// encodedDocument reads the document with the request's read options; failed is the response if that is impossible.
func (h Handler) encodedDocument(
	ctx context.Context, req *http1.Request,
) (doc *searchconfig.Config, data []byte, failed *http1.Response) {
	s := h.Store()
	if s == nil {
		return nil, nil, errorResponse(409, ErrNoStore)
	}
	params, err := url.ParseQuery(req.Query)
	if err != nil {
		return nil, nil, errorResponse(400, err)
	}
	options, err := store.ParseReadOptions(params)
	if err != nil {
		return nil, nil, errorResponse(400, err)
	}
	doc, err = s.ReadWith(ctx, options)
	if err != nil {
		return nil, nil, storeErrorResponse(err)
	}
	data, err = json.Marshal(doc)
	if err != nil {
		return nil, nil, errorResponse(500, err)
	}
	return doc, data, nil
}

// restoreDocument replaces the store's document by a backup's, or only checks the backup.
func (h Handler) restoreDocument(ctx context.Context, req *http1.Request) *http1.Response {
	s := h.Store()
	if s == nil {
		return errorResponse(409, ErrNoStore)
	}
	doc, err := ReadBackup(req.Body)
	if err != nil {
		return errorResponse(400, err)
	}
	if strings.Contains(req.Query, "check=true") {
		return jsonResponse(restoreCheck{OK: true, Indices: len(doc.Indices), Servers: len(doc.Servers)})
	}
	kept := 0
	replace := func(current *searchconfig.Config) (next *searchconfig.Config, err error) {
		next, kept = withCurrentShardMaps(doc, current)
		return next, nil
	}
	updated, err := s.UpdateSettings(withoutClientCancel(ctx), replace)
	if err != nil {
		return storeErrorResponse(err)
	}
	return jsonResponse(restoreResult{OK: true, Revision: updated.Revision, ShardMapsKept: kept})
}

// withCurrentShardMaps returns the backup's document with the current shard maps of the indices in both, and how many
// they are: a backup cannot know which servers store the data by now.
func withCurrentShardMaps(doc, current *searchconfig.Config) (next *searchconfig.Config, kept int) {
	next = doc
	for name := range doc.Indices {
		shardMap := current.ShardMap(name)
		if shardMap != nil && doc.ShardMap(name) != nil {
			next = next.WithShardMap(name, shardMap)
			kept++
		}
	}
	return next, kept
}
