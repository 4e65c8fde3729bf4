# Programs are linked to the C library, as the target hosts expect.
export CGO_ENABLED = 1

GOLANGCI_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools
LINT := $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)
GOPLS_VERSION := v0.23.0
GOPLS := $(TOOLS)/gopls-$(GOPLS_VERSION)

# Tests that are known to fail: the names after "test:" in KNOWN-RED.txt.
KNOWN_RED := $(shell sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null)
empty :=
space := $(empty) $(empty)
SKIP_KNOWN_RED := $(if $(KNOWN_RED),-skip '^($(subst $(space),|,$(strip $(KNOWN_RED))))$$')
# Tests of crowds of clients measure what a process holds: they run one at a time, after the others.
CROWD_TESTS := ^TestCrowd
CROWD_PACKAGES := ./platform/platformtest ./internal/processtest
SKIP_CROWDS := -skip '$(subst $(space),|,$(strip $(CROWD_TESTS) $(patsubst %,^%$$,$(KNOWN_RED))))'

.PHONY: build test lint upgrade rename-tool bench bench-policy bench-path capacity capacity-measure fuzz demo docs generate clean

build:
	go build -o bin/ ./cmd/...

test:
	go vet ./...
	@test ! -f KNOWN-RED.txt || { echo "known to fail, not run:"; cat KNOWN-RED.txt; }
	go test -count=1 $(SKIP_CROWDS) ./...
	go test -count=1 -p 1 -run '$(CROWD_TESTS)' $(SKIP_KNOWN_RED) $(CROWD_PACKAGES)

lint: $(LINT)
	$(LINT) fmt --diff ./...
	$(LINT) run ./...

$(LINT):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(TOOLS)/golangci-lint $(LINT)

# Renames an identifier and all its uses: $(GOPLS) rename -w FILE:LINE:COLUMN NEW
rename-tool: $(GOPLS)

$(GOPLS):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(TOOLS)/gopls $(GOPLS)

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...

# Runs the soak, and changes of the configuration, while hosts are replaced by those of the build
# FROM and back, from seed SEED on.
FROM ?= 0020a5d
SEED ?= 1
SEEDS ?= 1
upgrade:
	IBISTRAY_UPGRADE_FROM=$(FROM) IBISTRAY_UPGRADE_FIRST_SEED=$(SEED) IBISTRAY_UPGRADE_SEEDS=$(SEEDS) \
		go test -count=1 -timeout 60m -run '^TestUpgrade(WhileConfigurationsChange)?$$' -v ./platform/platformtest

demo: build
	./bin/demo

docs:
	go run ./cmd/docsgen

bench-policy:
	go run ./internal/policybench

# Latency of the path beside the direct one; bounded to 90 s.
bench-path: build
	./bin/pathbench

# Prints the tables of docs/CAPACITY.md from the committed slopes.
capacity:
	go run ./cmd/capacity table

# Measures the slopes anew; takes some minutes.
capacity-measure: build
	./bin/capacity measure

# Runs each fuzz target for FUZZTIME.
FUZZTIME ?= 10s
fuzz:
	@for package in $$(go list ./internal/... ./platform/...); do \
		for target in $$(go test -list '^Fuzz' $$package | grep '^Fuzz'); do \
			echo "$$package $$target"; \
			go test -run '^$$' -fuzz "^$$target$$" -fuzztime $(FUZZTIME) $$package || exit 1; \
		done; \
	done

# Generates the protocol's Go code; needs protoc and protoc-gen-go.
generate:
	go generate ./proto

clean:
	rm -rf bin .tools demo-data
