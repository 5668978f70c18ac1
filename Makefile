# The tasks of the project; .ci/run calls the same test command.
# The decisions; deploy/balancer.toml names the same files.
POLICY = $(filter-out %_test.go,$(wildcard internal/routing/*.go))

# Packages that decide and touch no I/O, clock or goroutine; lint holds them to it.
PURE = internal/routing internal/bodystore/tier internal/config internal/config/restriction internal/config/rollback internal/config/endpointmerge internal/adminapi/signature internal/shardmap internal/shardmap/coverage internal/shardmap/replan internal/shardmap/resharding internal/schema
# Packages that hold state and do I/O.
STATE = internal/endpoints internal/bodystore internal/searchconfig internal/coordinator internal/reshardexec internal/lifecycle internal/store

# The linters are pinned in a module of their own; tools/go.mod would take tools/knownred out of the program's.
LINTER = go tool -modfile=tools/lint/go.mod

.PHONY: build test lint run demo

# As deploy/balancer.toml builds: linked against the C library, into which the full fleet's bench loads its own.
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

# A fleet, discovery and a coordinator on this machine, to try.
demo: build
	exec bin/linkpass demo

# Needs the environment that README.md describes.
run: build
	exec bin/linkpass
