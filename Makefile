GO ?= go
BIN := bin/wigeonflow

.PHONY: build check demo dala-press lamphun measure report score hunt day regression sweep soak generate fmt

build:
	$(GO) build -o $(BIN) ./cmd/wigeonflow

# check runs the formatter, the linters and every test with the race detector.
check:
	@bad=$$(gofmt -l cmd examples internal platform); if [ -n "$$bad" ]; then echo "gofmt differs: $$bad"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	./scripts/test.sh

# demo starts a fleet of separate processes on loopback and asks it.
demo: build
	./scripts/demo.sh

# dala-press and lamphun run an example until they are interrupted.
dala-press lamphun: build
	./scripts/fleet.sh $@

# measure compares direct, one-router and two-router paths, then runs the peak
# trial and the one with a zone out.
measure: build
	./scripts/measure.sh path
	./scripts/measure.sh peak
	./scripts/measure.sh zone

# report measures reuse, skew, control traffic and a zone's absence for both sites,
# and writes docs/report.
report: build
	./scripts/report.sh

# score, hunt and day play the users' bench, whose program BENCH names, on the
# deployment file SITE. WHY is the line for the journal.
#   make score BENCH=.../fleetbench SITE=.../dala-press-large.toml WHY="what is tried"
#   make hunt  BENCH=... SITE=... WHY=... [DAYS=40]
#   make day   BENCH=... SITE=... WHY=... DAY=quiet-1 [SEED=5]
DAYS ?= 40
JOBS ?= 3

score:
	$(BENCH) score $(SITE) --jobs $(JOBS) --why "$(WHY)"

hunt:
	$(BENCH) hunt $(SITE) --days $(DAYS) --jobs $(JOBS) --why "$(WHY)"

day:
	$(BENCH) run $(SITE) $(DAY) $(if $(SEED),--seed $(SEED)) --log all --why "$(WHY)"

# regression plays the standard days of a large site small, in minutes, and sweep one day of it at
# 30, 100 and 300 machines, from whose slopes docs/CAPACITY.md is worked out.
#   make regression BENCH=... SITE=.../dala-press-large.toml WHY=...
regression:
	$(BENCH) score $(SITE) --small --jobs $(JOBS) --why "$(WHY)"

sweep:
	$(BENCH) sweep $(SITE) --jobs $(JOBS) --why "$(WHY)"

# soak plays fresh seeds of the fault soak and keeps the logs of those that break a promise.
SEEDS ?= 10
soak:
	$(GO) test ./platform/soak -run Fresh -timeout 2h -v -soak.seeds $(SEEDS) $(if $(KEEP),-soak.keep $(KEEP))

generate:
	$(GO) generate ./...

fmt:
	gofmt -w cmd examples internal platform
