# build, test, lint, run and show foldmux; everything else is in README.md.
.PHONY: build test lint run demo lab bench

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# GW_CONFIG names the configuration, as on the platform.
run: build
	target/release/foldmux serve

# Proxies, hubs and stand-ins on loopback: traffic, purges, a rewiring, a table. Some 20 s after the build.
demo: build
	target/release/foldmux-demo target/release/foldmux

# A day of the model with a rewiring, beside the same day without one and without shields.
lab: build
	target/release/foldmux-lab run lab/scenarios/rewire.toml

# The figures in docs/hierarchy.md that come from this machine's clock. Nothing else should run.
bench:
	cargo bench --locked -p foldmux-hierarchy --bench decision
	cargo bench --locked -p foldmux-hub --bench relay
