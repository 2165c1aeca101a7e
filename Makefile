GOFLAGS += -trimpath
export GOFLAGS
# The seed of the randomised tests; a flag would fail in packages that have none.
export RAPID_SEED ?= 20261202

# ARGS adds flags, such as ARGS=-keep.
.PHONY: build check test run bench bench-short slopes

build:
	go build -o bin/ ./apps/...

check:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

test: check build
	go test -race -count=1 -p 6 ./...

run: build
	bin/camphorrack-demo -bin bin $(ARGS)
