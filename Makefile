# Programs are linked to the C library, as the target hosts expect.
export CGO_ENABLED = 1

GOLANGCI_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools
LINT := $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)

.PHONY: build test lint bench bench-policy fuzz demo docs generate clean

build:
	go build -o bin/ ./cmd/...

test:
	go vet ./...
	go test -count=1 ./...

lint: $(LINT)
	$(LINT) fmt --diff ./...
	$(LINT) run ./...

$(LINT):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(TOOLS)/golangci-lint $(LINT)

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...

demo: build
	./bin/demo

docs:
	go run ./cmd/docsgen

bench-policy:
	go run ./internal/policybench

clean:
	rm -rf bin .tools demo-data
