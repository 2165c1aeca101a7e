GOFLAGS += -trimpath
export GOFLAGS
# Seed of the randomised tests. It is an environment variable because go test rejects the
# seed flag in packages without randomised tests.
export RAPID_SEED ?= 20261202

# ARGS passes further flags to the program that a target runs, such as ARGS=-keep.
.PHONY: build check test run bench bench-short slopes

build:
	go build -o bin/ ./apps/...

check:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

test: check build
	scripts/test.sh

run: build
	bin/camphorrack-demo -bin bin $(ARGS)

# Runs every scenario under every policy, which takes hours. ARGS selects a part of them,
# such as ARGS='-scenarios steady-0.8 -seeds 1'.
bench: build
	bin/camphorrack-bench -bin bin $(ARGS)

# Takes under two minutes: tasks are five times shorter, and only the best baseline is compared.
bench-short: build
	bin/camphorrack-bench -bin bin -scenarios short -policies first-come,least-work -seeds 1 -duration 10s -scale 0.2 -parallel 2 -wide=false $(ARGS)

# Measures the cost slopes that docs/CAPACITY.md uses; prints each after its command.
slopes: build
	scripts/slopes.sh
