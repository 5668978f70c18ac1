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

// restoreCheck is the response to a restore request that only checks the backup.
type restoreCheck struct {
	Indices int  `json:"indices"`
	OK      bool `json:"ok"`
	Servers int  `json:"servers"`
}

// restoreResult is the response to a completed restore.
type restoreResult struct {
	ShardMapsKept int    `json:"layouts_kept"` // indices that keep their current shard map
	OK            bool   `json:"ok"`
	Revision      uint64 `json:"revision"`
}

// readDocument responds with the store's document.
func (h Handler) readDocument(ctx context.Context, req *http1.Request) *http1.Response {
	_, data, errResponse := h.encodedDocument(ctx, req)
	if errResponse != nil {
		return errResponse
	}
	return rawJSONResponse(200, data)
}

// backUpDocument responds with a backup of the store's document.
func (h Handler) backUpDocument(ctx context.Context, req *http1.Request) *http1.Response {
	doc, data, errResponse := h.encodedDocument(ctx, req)
	if errResponse != nil {
		return errResponse
	}
	return jsonResponse(newBackup(data, doc.Revision, time.Now().UTC()))
}

// encodedDocument reads the document with the read options of the request, and returns it decoded and as JSON. If that
// is impossible, errResponse is the response to send; else it is nil.
func (h Handler) encodedDocument(
	ctx context.Context, req *http1.Request,
) (doc *searchconfig.Config, data []byte, errResponse *http1.Response) {
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

// restoreDocument replaces the store's document with that of a backup. With check=true in the query, it only checks the
// backup.
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

// withCurrentShardMaps returns the document of a backup, but with the current shard maps of the indices that have one
// in both documents; kept is their number. A backup cannot know which servers store the data by now.
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
