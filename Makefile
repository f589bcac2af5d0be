# Build, test and measurement targets. README.md documents the targets for users.

GOLANGCI_VERSION := v2.15.0
PROTOC_GEN_GO_VERSION := v1.36.11
PROTOC_GEN_TWIRP_VERSION := v8.1.3
GOBIN_DIR := $(shell go env GOPATH)/bin
GOLANGCI := $(GOBIN_DIR)/golangci-lint
PROTO_FILES := $(shell git ls-files '*.proto')

export CGO_ENABLED := 1

# KNOWN_RED matches the tests that KNOWN-RED.txt lists, one "test: NAME in PACKAGE" each.
KNOWN_RED := $(shell sed -n 's/^test: \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')
SKIP_KNOWN_RED = $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

.PHONY: build test race lint fmt generate setup spin demo platform-demo soak bench bench-slow capacity capacity-sweep regress clean

build:
	mkdir -p bin
	go build -o bin/ ./cmd/... ./standin ./demo ./soak

demo: build
	bin/demo

# BENCH runs the benchmarks of a package that match a pattern and prints only the
# lines "bench NAME VALUE UNIT".
BENCH = go test -run '^$$' -bench '$(2)' -benchtime $(3) $(1) | $(LINES)
LINES = grep -oE 'bench [^ ]+ [0-9.e+-]+ [^ ]+$$'

bench:
	$(call BENCH,./connection/forward,.,1s)
	$(call BENCH,./version/steering,Lookup|Build1000,1s)
	$(call BENCH,./version/steering,Imbalance|Moves|Memory,1x)
	$(call BENCH,./connection/flows,Inbound|Change$$,1s)
	$(call BENCH,./connection/flows,SuccessiveChanges|RegistrationBytes,1x)
	$(call BENCH,./connection/endpoint,.,1x)
	$(call BENCH,./connection/steer,.,1s)
	$(call BENCH,./connection/hedge,.,1s)
	$(call BENCH,./connection/backlog,.,1s)
	$(call BENCH,./process/passthrough,Path,1s)
	$(call BENCH,./process/membership,Heartbeat,20000x)
	$(call BENCH,./fleet,.,1x)
	go test -v -count=1 -run 'Overload|Ramp' ./request/limit | $(LINES)
	go test -run '^$$' -bench 'keyed|Keyed' -benchtime 1s ./request/admission | grep '^Benchmark'

# bench-slow runs the benchmarks that take several minutes each.
bench-slow:
	$(call BENCH,./version/steering,BucketCount,1x)
	$(call BENCH,./process/membership,Detection|MassRestart,1x)
	$(call BENCH,./version/spread,Loopback,1x)

# capacity measures the resource usage per unit and prints the table of
# docs/CAPACITY.md.
capacity:
	mkdir -p out
	($(call BENCH,./process/membership,ControlTraffic,1x); \
	$(call BENCH,./process/membership,Memory|ViewAfterChange,20x); \
	$(call BENCH,./process/balancer,PlaneAfterChange,50x); \
	$(call BENCH,./version/steering,Memory,1x); \
	$(call BENCH,./version/spread,ModelLoad|PeerBytes,1x); \
	$(call BENCH,./version/publish,ChangeBytes,1x); \
	$(call BENCH,./connection/flows,RegistrationBytes,1x); \
	go test -v -count=1 -run StreamMemory ./request/admission | $(LINES)) > out/capacity.txt
	go run ./capacity < out/capacity.txt

# capacity-sweep prints the tables of docs/CAPACITY.md from the output of the sweep of the
# users' bench (SWEEP).
capacity-sweep:
	go run ./platform/sweep "$(SWEEP)"

test: spin
	go test $(SKIP_KNOWN_RED) ./...

race: spin
	go test -race $(SKIP_KNOWN_RED) ./...

# platform-demo runs both roles of the users' platform as processes with simulated
# external systems while balancers are replaced and backend servers are drained.
platform-demo: build
	bin/soak --demo --length 25s --output out/platform-demo

# soak injects random faults into the deployment of platform-demo, for SEEDS seeds from
# FIRST on.
SEEDS ?= 5
FIRST ?= 1
soak: build
	bin/soak --seeds $(SEEDS) --first $(FIRST) --length 30s

# regress plays the sites that platform/regress/sites.txt lists with the users' bench
# (BENCH), whose site files are below SITES, and compares the days with the committed
# journal. It is not part of CI.
regress:
	go build -o bin/ ./platform/regress
	bin/regress --bench "$(BENCH)" --root "$(SITES)"

spin:
	@command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin)

setup: spin
	@test "$$($(GOLANGCI) version --short 2>/dev/null)" = "$(GOLANGCI_VERSION:v%=%)" || \
		go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: setup
	go vet ./...
	$(GOLANGCI) run ./...

fmt: setup
	$(GOLANGCI) fmt ./...

# generate regenerates the committed code of the Twirp services. It needs protoc.
generate:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	go install github.com/twitchtv/twirp/protoc-gen-twirp@$(PROTOC_GEN_TWIRP_VERSION)
	PATH="$(GOBIN_DIR):$$PATH" protoc --go_out=. --go_opt=paths=source_relative \
		--twirp_out=. --twirp_opt=paths=source_relative $(PROTO_FILES)

clean:
	rm -rf bin out target
