# The tasks of the project. .ci/run runs the target test.
# The source files of the routing policy. deploy/balancer.toml names the same files.
POLICY = $(filter-out %_test.go,$(wildcard internal/routing/*.go))

# Packages without I/O, clock or goroutines. lint checks this.
PURE = internal/routing internal/bodystore/tier internal/config internal/config/restriction internal/config/rollback internal/config/endpointmerge internal/adminapi/signature internal/shardmap internal/shardmap/coverage internal/shardmap/replan internal/shardmap/resharding internal/schema
# Packages that keep state and do I/O.
STATE = internal/endpoints internal/bodystore internal/searchconfig internal/coordinator internal/reshardexec internal/lifecycle internal/store

# The linters have a module of their own, which pins their versions. It is not tools/go.mod, as that would take
# tools/knownred out of the program's module.
LINTER = go tool -modfile=tools/lint/go.mod

.PHONY: build test lint run demo

# Builds as deploy/balancer.toml does: linked against the C library, into which the full fleet's bench loads its own.
build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not gofmt-clean: $$unformatted"; exit 1; fi
	go vet ./...
	$(LINTER) staticcheck ./...
	$(LINTER) revive -config revive.toml ./...
	@dead=$$($(LINTER) deadcode -test ./...) || exit 1; if [ -n "$$dead" ]; then \
		echo "neither a program nor a test reaches:"; echo "$$dead"; exit 1; fi
	@long=$$(expand -t4 $(POLICY) | awk 'length > 110 { print NR }'); if [ -n "$$long" ]; then \
		echo "policy lines over 110 characters: $$long"; exit 1; fi
	@for p in $(PURE); do \
		bad=$$(go list -f '{{join .Imports "\n"}}' ./$$p | grep -E '^(net|os|syscall|io/ioutil)(/|$$)'); \
		files=$$(ls $$p/*.go | grep -v _test.go); \
		bad="$$bad$$(grep -nE '\btime\.(Now|Since|Until|After|AfterFunc|Sleep|Tick|NewTimer|NewTicker)\b|^[[:space:]]*go (func|[A-Za-z_.]+\()' $$files)"; \
		if [ -n "$$bad" ]; then echo "$$p is listed as pure: $$bad"; exit 1; fi; done
	@bare=$$(grep -rlE '^[[:space:]]*"log(/slog)?"$$' --include=*.go . | grep -v '^./internal/eventlog/'); if [ -n "$$bare" ]; then \
		echo "lines are logged by internal/eventlog alone: $$bare"; exit 1; fi
	@grep -q 'Events are in events.go, actions in actions.go' internal/routing/doc.go || { echo "doc.go must point to the interface"; exit 1; }

test: lint build
	LINKPASS_BUILT=$(CURDIR)/bin go run ./tools/knownred -race -count=1 -timeout 180s

# Runs a fleet, discovery and a coordinator on this machine, to try the program.
demo: build
	exec bin/linkpass demo

# Needs the environment variables that README.md describes.
run: build
	exec bin/linkpass
