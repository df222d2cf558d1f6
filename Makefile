# build, test, lint, run and show foldmux; everything else is in README.md.
.PHONY: build test lint run demo demo-extproc simulate bench bench-extproc fleet-faults demo-fleet fuzz planted soak simulate-fleet

build:
	cargo build --release --locked

# Tests of the harness start several processes each: two at a time. CI passes over the tests of KNOWN-RED.txt by SKIP.
test:
	cargo test --workspace --locked --exclude foldmux-harness -- $(SKIP)
	cargo test -p foldmux-harness --locked -- --test-threads=2 $(SKIP)

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# GW_CONFIG names the configuration, as on the platform.
run: build
	target/release/foldmux serve

# Proxies, hubs and stand-ins on loopback: traffic, purges, a rewiring, a table. Some 20 s after the build.
demo: build
	target/release/foldmux-demo target/release/foldmux

# Two instances of the external processor behind a calling proxy that cancels, resets and retries, while the instances
# are killed and started again: what ran twice and whose answer was lost. Some 12 s after the build.
demo-extproc: build
	target/release/foldmux-demo target/release/foldmux extproc

# A simulated day with a rewiring, beside the same day without one and without shields.
simulate: build
	target/release/foldmux-simulator run rigs/simulator/scenarios/rewire.toml

# The figures in docs/hierarchy.md and docs/limits.md that come from this machine's clock. Nothing else should run.
bench:
	cargo bench --locked -p foldmux-hierarchy --bench decision
	cargo bench --locked -p foldmux-hub --bench relay
	cargo bench --locked -p foldmux-limits --bench limits

# The figures in docs/extproc.md that come from this machine's clock. Nothing else should run.
bench-extproc: build
	cargo bench --locked -p foldmux-extproc --bench decide
	target/release/foldmux-demo target/release/foldmux streams
	target/release/foldmux-demo target/release/foldmux day

# Eight processes under kills, pauses, leaves and cuts from a seed; what ran twice and what was lost.
SECONDS ?= 120
SEED ?= 1
fleet-faults: build
	target/release/foldmux-harness faults --seconds $(SECONDS) --seed $(SEED)

# Six processes at three sites: traffic, kills, a pause, a cut, an upgrade; a table. Some 35 s after the build.
demo-fleet: build
	target/release/foldmux-harness demo --seed $(SEED)

# Every codec against another reading of the same bytes; what is found is kept in rigs/fuzz/corpus.
fuzz: build
	target/release/foldmux-fuzz --seconds $(SECONDS) --seed $(SEED)

# Each fault that is planted on purpose must be found; how soon is printed. docs/design/planted.md has the table.
planted:
	cargo test --locked -p foldmux-replicas --features foldmux-replicas/planted --test planted
	cargo test --locked -p foldmux-membership --features foldmux-membership/planted --test planted
	cargo test --locked -p foldmux-takeover --features foldmux-takeover/planted --test planted
	cargo test --locked -p foldmux-relay --features foldmux-relay/planted --test planted
	cargo test --locked -p foldmux-fair-queue --features foldmux-fair-queue/planted --test planted

# The program under failing system calls, stepped clocks and signals, a seed after the other; what broke a rule is told.
SEEDS ?= 1..51
SOAK_SECONDS ?= 5
soak: build
	target/release/foldmux-soak --seeds $(SEEDS) --seconds $(SOAK_SECONDS)

# A thousand instances in virtual time, a fault at any message; what breaks is shrunk.
simulate-fleet: build
	target/release/foldmux-simulator fleet --instances 1000 --seed $(SEED)
