GO ?= go
BIN := bin

.PHONY: all build test race scenarios demo bench capacity fmt lint generate clean

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
	./bench/run.sh

capacity: build
	$(GO) run ./test/capacity -bin $(BIN)

fmt:
	gofmt -l -w cmd internal test

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

generate:
	$(GO) generate ./internal/api/...

clean:
	rm -rf $(BIN)
