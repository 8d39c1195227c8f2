BIN := bin/foxcroft

GOPLS_VERSION := v0.23.0

.PHONY: build gopls generate check-generated fmt vet lint test known-red race run measure

build:
	go build -o $(BIN) .

# gopls installs the language server that renames identifiers (bin/gopls rename -w
# FILE:LINE:COLUMN NAME). Later versions need a later Go.
gopls:
	GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

# generate needs protoc (Debian: protobuf-compiler); the build does not.
generate:
	go build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=protoc-gen-go=bin/protoc-gen-go --proto_path=proto --go_out=. --go_opt=module=github.com/foxcroft/foxcroft proto/peer.proto
	go tool wire ./pkg/entry ./pkg/node

run: build
	scripts/run.sh $(or $(DEPLOYMENT),andina)

# measure prints one JSON object a scenario and policy; see docs/LOAD.md.
measure: build
	scripts/measure.sh

fmt:
	@files=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$files" ]; then echo "gofmt these files:"; echo "$$files"; exit 1; fi

vet:
	go vet ./...

lint:
	go tool staticcheck ./...

# test is what CI runs: format, vet, linter, all tests, and the concurrent
# packages again under the race detector. Tests listed in KNOWN-RED.txt are
# passed over.
test: build fmt vet lint
	scripts/test.sh

# known-red runs just the tests listed in KNOWN-RED.txt, which should fail.
known-red:
	@scripts/known-red.sh run

# check-generated makes the generated code anew and fails if it differs.
check-generated: generate
	git diff --exit-code -- pkg/peerpb pkg/entry/wire_gen.go pkg/node/wire_gen.go
