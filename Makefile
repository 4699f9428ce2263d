GO ?= go
BIN := bin

.PHONY: all build test crowd fuzz race demo bench bench-quick capacity soak fmt lint rename generate clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# SKIP is a pattern of tests that are passed over.
SKIP ?=
test: build
	$(GO) test $(if $(SKIP),-skip '$(SKIP)') ./...

# Crowds of clients that do not behave before real processes, one after the other. It needs a machine
# without other load: each measures the memory of a process.
crowd:
	$(GO) test -tags crowd ./test/crowd -count 1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)')

# Each fuzz target for a moment, beyond the corpus that every test run tries.
FUZZTIME ?= 3000x
fuzz:
	@grep -rl '^func Fuzz' --include='*_test.go' internal platform | while read -r file; do \
		for target in $$(sed -n 's/^func \(Fuzz[A-Za-z]*\)(.*/\1/p' $$file); do \
			$(GO) test ./$$(dirname $$file) -run '^$$' -fuzz "^$$target$$" -fuzztime $(FUZZTIME) || exit 1; \
		done; \
	done

race:
	$(GO) test -race ./...

demo: build
	KEEP=$(KEEP) ./test/demo/run.sh

bench: build
	RECORD=1 ./test/bench/run.sh

# One policy pair only, in under a minute and without a record, for rounds.
bench-quick: build
	DURATION=10s ./test/bench/run.sh quick

capacity: build
	$(GO) run ./test/capacity -bin $(BIN)

# Daemons and stand-ins as processes, with troubles drawn from SEED for MINUTES; SEEDS
# are played one after the other, and LOGS keeps the daemons' logs.
SEED ?= 0
SEEDS ?= 1
MINUTES ?= 1
DAEMONS ?= 3
SERVERS ?= 4
LOGS ?=
soak:
	$(GO) test ./test/soak -run '^TestSoak(OfPartitions)?$$' -v -count 1 -timeout 0 -seed $(SEED) -seeds $(SEEDS) \
		-minutes $(MINUTES) -daemons $(DAEMONS) -servers $(SERVERS) $(if $(LOGS),-logs $(abspath $(LOGS)))

fmt:
	gofmt -l -w cmd internal test

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) vet -tags crowd ./test/crowd
	$(GO) tool staticcheck -tags crowd ./test/crowd

# Renames the identifier at FILE:LINE:COLUMN and all its uses, also in tests.
GOPLS ?= $(GO) run golang.org/x/tools/gopls@v0.21.1
AT ?=
TO ?=
rename:
	$(GOPLS) rename -w $(AT) $(TO)

generate:
	$(GO) generate ./internal/api/...

clean:
	rm -rf $(BIN)
