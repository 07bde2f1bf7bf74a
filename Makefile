# Targets: demo, test, lint, race, soak, bench, generate. Only Go and make are needed.

BIN := $(CURDIR)/bin
TOOLS := $(CURDIR)/.cache/tools
GOLANGCI := $(TOOLS)/golangci-lint
GOLANGCI_VERSION := v2.15.0
GOPLS := $(TOOLS)/gopls
GOPLS_VERSION := v0.23.0
PACKAGES := ./... ./standins/...
# Tests that are known to fail, one a line: test, cause, issue. They are passed over
# and printed; see docs/DEVELOPERS.md.
KNOWN_RED := $(shell cut -d, -f1 KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP_RED := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')

.PHONY: all build demo test lint race soak bench generate clean

all: build

build:
	go build -o $(BIN)/ ./cmd/... ./standins/cmd/...

demo: build
	$(BIN)/demo $(BIN)

# Everything that CI runs.
test: lint build race

lint: $(GOLANGCI)
	go vet $(PACKAGES)
	$(GOLANGCI) fmt --diff ./... 
	$(GOLANGCI) run ./...
	cd standins && $(GOLANGCI) run --config ../.golangci.yml ./...

race: build
	go test -race -count=1 $(SKIP_RED) $(filter-out %/scenarios %/soak %/plannedstop %/endless %/crowd,$(shell go list $(PACKAGES)))
	go test -count=1 -run 'OneMap|Mutants|RecoversAfterFaults' ./internal/experts
	go test -count=1 -parallel 4 $(SKIP_RED) ./standins/scenarios
	go test -count=1 ./standins/soak
	go test -count=1 $(SKIP_RED) ./standins/plannedstop
	go test -count=1 $(SKIP_RED) ./standins/endless
	go test -count=1 $(SKIP_RED) ./standins/crowd
	@if [ -s KNOWN-RED.txt ]; then echo "known red, not run:"; cat KNOWN-RED.txt; fi

# A fault soak by hand: make soak FIRST=1 SEEDS=50.
FIRST ?= 1
SEEDS ?= 10
soak: build
	$(BIN)/soak --first $(FIRST) --seeds $(SEEDS) $(BIN)

bench: build
	go run ./standins/cmd/bench $(BIN)

generate: $(TOOLS)/protoc-gen-go $(TOOLS)/protoc-gen-twirp $(TOOLS)/buf
	PATH=$(TOOLS):$$PATH buf generate

$(GOLANGCI):
	GOWORK=off GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

# The language server, used by hand for renames: gopls rename -w FILE:LINE:COLUMN NEW.
$(GOPLS):
	GOWORK=off GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

$(TOOLS)/protoc-gen-go:
	GOWORK=off GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12

$(TOOLS)/protoc-gen-twirp:
	GOWORK=off GOBIN=$(TOOLS) go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible

$(TOOLS)/buf:
	GOWORK=off GOBIN=$(TOOLS) go install github.com/bufbuild/buf/cmd/buf@latest

clean:
	rm -rf $(BIN) .cache
