.PHONY: all build demo test check generate bench fuzz

all: build

build:
	go build -o bin/ ./cmd/...

# Starts everything on loopback, serves a few requests and stops it again.
demo: build
	./bin/garnet-demo --bin bin

# Formatting, vet, staticcheck and every test with the race detector.
test: check
	go test -race -timeout 15m ./...

check:
	@out=$$(gofmt -l cmd internal api); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

# Makes the committed generated code anew; needs protoc.
generate:
	go generate ./api
