# The commands of the project. All of them need Go only.

.PHONY: build run platform soak test fuzz bench generate regress

build:
	go build -o bin/ ./cmd/...

# run starts the Verhaeghe example as separate processes for about 30 seconds
# and prints one JSON line last.
run: build
	bin/egretload examples/verhaeghe/scenario.json

# platform runs the product on stand-ins of the users' platform as separate
# processes for about 20 seconds, kills one of them, and prints one JSON line
# last.
platform: build
	bin/egretplay

# soak injects bursts of overlapping faults with fresh seeds, and writes a plot of each
# run to run/.
SEEDS ?= 5
soak: build
	bin/egretplay soak --seeds $(SEEDS) --folder run

# test runs everything that CI runs but the linters. TESTFLAGS are further flags of
# go test.
TESTFLAGS ?=
test: build
	go test -race $(TESTFLAGS) ./...

# fuzz runs the property tests with fresh seeds, each for FUZZTIME.
FUZZTIME ?= 30s
fuzz:
	FUZZTIME=$(FUZZTIME) go test -race -count=1 -timeout=2h ./internal/fleet/... ./internal/batch/... ./internal/rollout/... ./internal/route/... ./internal/entry/...

bench:
	go test -run='^$$' -bench=. -benchmem ./...

# generate writes the files that are derived from the code and from answers.
# The tests check that they are up to date.
generate: build
	bin/egretbend schema settings > docs/settings.schema.json
	bin/egretbend schema config > docs/configuration.schema.json
	bin/egretbend schema answers > docs/answers.schema.json
	bin/egretbend generate --answers examples/verhaeghe/answers.json --out examples/verhaeghe/configuration.json
	bin/egretbend generate --answers examples/labelpoint/answers.json --out examples/labelpoint/configuration.json

# regress scores and hunts the users' sites with their bench and prints one table
# with the figures of the last landing beside it: make regress BENCH=... SYSTEM=...
regress:
	deploy/regress $(BENCH) $(SYSTEM)
