.PHONY: all build demo demo-own test check generate bench fuzz soak live

all: build

build:
	go build -o bin/ ./cmd/...

# Starts garnet-nodes on loopback before stand-ins, serves a mix that shifts, changes the
# configuration, stops a VM and kills one.
demo: build
	./bin/garnet-demo --bin bin

# The same for the product's own deployment, in short.
demo-own: build
	./bin/garnet-demo --bin bin --own

# Formatting, vet, staticcheck and every test with the race detector.
test: check
	@./scripts/test.sh

check:
	@out=$$(gofmt -l cmd internal api platform); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

# Prints one line for each figure: figure NAME VALUE UNIT. Takes some minutes
# and wants an otherwise idle machine; no test depends on it.
BENCH = go test -run '^$$' -benchtime=1x -timeout 30m
bench:
	@$(BENCH) -bench Figures ./internal/route ./internal/limit ./internal/roles ./internal/place 2>&1 | grep '^figure'
	@go test -run '^$$' -bench 'Pick|Observe|Accounts|CopyEvents' ./internal/route ./internal/roles ./internal/limit ./internal/relay | ./scripts/figures.sh
	@go test -count=1 -run 'TestSpread|TestLeavingTarget' -v ./internal/member | grep '^figure'
	@$(BENCH) -bench 'Relay|Control|Succession' ./internal/proc 2>&1 | grep '^figure'

# Soaks garnet-node processes with faults dealt by a seed, for some minutes; a
# report and a timeline for each seed are below soak/.
SEED ?= 0
MINUTES ?= 2
SOAK_S = 30
soak: build
	./bin/garnet-soak --seed $(SEED) --seeds $$(( $(MINUTES) * 60 / $(SOAK_S) )) --length $(SOAK_S)s --out soak

# Makes the committed generated code anew; needs protoc.
generate:
	go generate ./api

# Fuzzes each parser of what comes from outside for a while.
FUZZTIME ?= 20s
fuzz:
	go test -run '^$$' -fuzz FuzzDecode$$ -fuzztime $(FUZZTIME) ./internal/settings
	go test -run '^$$' -fuzz FuzzDecodeCSV -fuzztime $(FUZZTIME) ./internal/table
	go test -run '^$$' -fuzz FuzzParseChat -fuzztime $(FUZZTIME) ./internal/relay
	go test -run '^$$' -fuzz FuzzEventID -fuzztime $(FUZZTIME) ./internal/relay
	go test -run '^$$' -fuzz FuzzEventReader -fuzztime $(FUZZTIME) ./internal/relay
	go test -run '^$$' -fuzz FuzzVMList -fuzztime $(FUZZTIME) ./internal/gossip
	go test -run '^$$' -fuzz FuzzDecodeTarget -fuzztime $(FUZZTIME) ./platform
	go test -run '^$$' -fuzz FuzzDecodeConfig -fuzztime $(FUZZTIME) ./platform
	go test -run '^$$' -fuzz FuzzReadLedger -fuzztime $(FUZZTIME) ./internal/usage
	go test -run '^$$' -fuzz FuzzHead -fuzztime $(FUZZTIME) ./internal/httpsend

# Plays a day on the wall clock with garnet-node processes, with engines at a part of their
# speed, and prints service by size; half a minute to two.
SITE ?= examples/model/nairobi.jsonc
DAY ?= quiet-1
SPEED ?= 1
BUSY ?= 0
live: build
	./bin/garnet-model --day $(SITE) --name $(DAY) --speed $(SPEED) --busy $(BUSY) --live bin --out live
