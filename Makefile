# The tasks of the project; .ci/run calls the same test command.
POLICY = router.go window.go
POLICY_LINES = 940

.PHONY: build test lint run

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not gofmt-clean: $$unformatted"; exit 1; fi
	go vet ./...
	@lines=$$(cat $(POLICY) | grep -c '[^[:space:]]'); if [ "$$lines" -gt $(POLICY_LINES) ]; then \
		echo "the policy files have $$lines non-blank lines; $(POLICY_LINES) is the ceiling"; exit 1; fi
	@long=$$(expand -t4 $(POLICY) | awk 'length > 110 { print NR }'); if [ -n "$$long" ]; then \
		echo "policy lines over 110 characters: $$long"; exit 1; fi
	@head -n 1 router.go | grep -q 'api\.go' || { echo "router.go must point to api.go first"; exit 1; }

test: lint build
	go test -race -count=1 ./...

# Needs the environment that README.md describes.
run: build
	exec bin/linkpass
