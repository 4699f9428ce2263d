GO ?= go
BIN := bin

.PHONY: all build test race scenarios demo bench bench-quick fmt lint generate clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test: build
	$(GO) test ./...

race:
	$(GO) test -race ./...

demo: build
	KEEP=$(KEEP) ./test/demo/run.sh

bench: build
	RECORD=1 ./test/bench/run.sh

# One policy pair only, in under a minute and without a record, for rounds.
bench-quick: build
	DURATION=10s ./test/bench/run.sh quick

fmt:
	gofmt -l -w cmd internal test

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

generate:
	$(GO) generate ./internal/api/...

clean:
	rm -rf $(BIN)
