package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
)

// Handler serves the API of a Coordinator. It does not check signatures; see SignedHandler. It is safe for concurrent
// use.
type Handler struct{ Coordinator }

// routes holds the calls with a fixed path, by method and by the path after Version.
var routes = map[string]func(Handler, context.Context, *http1.Request) *http1.Response{
	"GET status":         respondWith(func(h Handler) any { return h.Status() }),
	"GET servers":        Handler.listServers,
	"GET servers/agreed": Handler.replicatedState,
	"PUT servers/order":  Handler.changeServer,
	"PUT store/members":  Handler.changeMember,
	"GET layouts":        respondWith(func(h Handler) any { return h.ShardMaps() }),
	"PUT drain":          respondWith(func(h Handler) any { return stateBody{h.Drain()} }),
	"PUT activate":       respondWith(func(h Handler) any { return stateBody{h.Activate()} }),
	"GET config":         respondWith(func(h Handler) any { return h.Settings() }),
	"PUT config/reload":  Handler.reload,
	"GET log":            respondWith(func(Handler) any { return eventlog.Levels() }),
	"GET store/document": Handler.readDocument,
	"GET store/backup":   Handler.backUpDocument,
	"PUT store/document": Handler.restoreDocument,
}

// respondWith returns the implementation of a call that ignores its request and cannot fail. The function body returns
// the value for the JSON body of the response.
func respondWith(body func(Handler) any) func(Handler, context.Context, *http1.Request) *http1.Response {
	return func(h Handler, _ context.Context, _ *http1.Request) *http1.Response { return jsonResponse(body(h)) }
}

// stateBody is the response to a change of readiness.
type stateBody struct {
	State string `json:"state"`
}

// Serve handles one call.
func (h Handler) Serve(ctx context.Context, began time.Duration, req *http1.Request) *http1.Response {
	path, ok := strings.CutPrefix(req.Path, Version+"/")
	if !ok {
		return errorResponse(404, fmt.Errorf("no such call: %.80q is not a path of API version %s", req.Path, Version))
	}
	if searchPath, ok := strings.CutPrefix(path, "search/"); ok {
		return h.forwardToSearch(ctx, began, searchPath, req)
	}
	if serve, ok := routes[req.Method+" "+path]; ok {
		return serve(h, ctx, req)
	}
	if component, ok := strings.CutPrefix(path, "log/"); ok && req.Method == "PUT" {
		return setLogLevel(component, string(req.Body))
	}
	return errorResponse(404, fmt.Errorf("no such call: %s %.80q", req.Method, req.Path))
}

// forwardToSearch forwards a call to the search front, with path in place of the call's path.
func (h Handler) forwardToSearch(ctx context.Context, began time.Duration, path string,
	req *http1.Request) *http1.Response {
	front := h.Search()
	if front == nil {
		return errorResponse(409, ErrNoSearchFront)
	}
	forwarded := *req
	forwarded.Path = "/" + path
	return front.Serve(ctx, began, &forwarded)
}

// setLogLevel sets the log level of a component and responds with the levels of all components.
func setLogLevel(component, level string) *http1.Response {
	if err := eventlog.SetLevel(component, level); err != nil {
		return errorResponse(400, err)
	}
	eventlog.LogLevelChanged.Log(component, level)
	return jsonResponse(eventlog.Levels())
}

// withoutClientCancel returns the context for a change. The context of a request is canceled when the client closes its
// side of the connection; a change that was requested must be completed nevertheless.
func withoutClientCancel(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }

func (h Handler) listServers(context.Context, *http1.Request) *http1.Response {
	list, err := h.Servers()
	if err != nil {
		return errorResponse(503, err)
	}
	return jsonResponse(list)
}

func (h Handler) replicatedState(context.Context, *http1.Request) *http1.Response {
	state, err := h.ReplicatedState()
	if err != nil {
		return storeErrorResponse(err)
	}
	return jsonResponse(state)
}

func (h Handler) changeServer(ctx context.Context, req *http1.Request) *http1.Response {
	var request ServerRequest
	if err := json.Unmarshal(req.Body, &request); err != nil {
		return errorResponse(400, fmt.Errorf("decode server request: %w", err))
	}
	response, err := h.ChangeServer(withoutClientCancel(ctx), request)
	if err != nil {
		return storeErrorResponse(err)
	}
	return jsonResponse(response)
}

func (h Handler) changeMember(ctx context.Context, req *http1.Request) *http1.Response {
	var request MemberRequest
	if err := json.Unmarshal(req.Body, &request); err != nil {
		return errorResponse(400, fmt.Errorf("decode member request: %w", err))
	}
	if err := h.ChangeMember(withoutClientCancel(ctx), request); err != nil {
		return storeErrorResponse(err)
	}
	return jsonResponse(request)
}

func (h Handler) reload(context.Context, *http1.Request) *http1.Response {
	result, err := h.Reload()
	if err != nil {
		return errorResponse(409, err)
	}
	return jsonResponse(result)
}
