#!/usr/bin/env bash
# The complete test command: formatting, lints, documentation, release build, all tests, and short runs of the
# adapter, the node and the whole system.
# Needs only cargo, bash, git and the standard Unix tools. Exits with a non-zero status on the first failure.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo fmt --check
# Names that are visible outside the process (messages, settings, stored data, metrics) must not change.
scripts/external-names.sh
cargo clippy --workspace --all-targets --locked -- -D warnings
# The limits on function size are in clippy.toml. Tests are exempt: many of them are long tables of cases.
cargo clippy --workspace --no-deps --locked -- -D warnings \
    -W clippy::too_many_lines -W clippy::cognitive_complexity
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
cargo build --workspace --release --locked
# Runs all tests except those listed in KNOWN-RED.txt, which are run afterwards; their results are only printed.
mapfile -t skip_args < <(scripts/known-red.sh skips)
[ "${#skip_args[@]}" -gt 0 ] || exit 1
cargo test --workspace --locked -- "${skip_args[@]}"
scripts/known-red.sh report

# The adapter must respond to an empty batch with `ack` alone.
reply=$(printf 'sync 1.5\ngo\n' | target/release/glenfall-adapter)
[ "$reply" = ack ] || { echo "adapter: expected the response 'ack' to an empty batch, got '$reply'" >&2; exit 1; }
echo "adapter responds to an empty batch"

# Starts the node on a port that the kernel chooses, waits until it reports ready, and checks that SIGTERM makes it
# exit with status 0.
node_output=$(mktemp)
LB_NAME=n0 LB_LISTEN=127.0.0.1:0 LB_DISCOVERY=127.0.0.1:1 LB_CONFIG=deploy/example.json \
    target/release/glenfall-node >"$node_output" 2>/dev/null &
node_pid=$!
trap 'kill "$node_pid" 2>/dev/null || true; rm -f "$node_output"' EXIT
is_ready() {
    local address status_line
    address=$(sed -n 's/.* listens on //p' "$node_output")
    [ -n "$address" ] || return 1
    exec 3<>"/dev/tcp/${address%:*}/${address##*:}" || return 1
    printf 'GET /health/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n' >&3
    read -r status_line <&3
    exec 3>&-
    [[ $status_line == "HTTP/1.1 200"* ]]
}
for _ in $(seq 300); do
    if is_ready; then
        kill "$node_pid"
        wait "$node_pid"
        echo "node becomes ready and exits on SIGTERM"
        # Runs the whole system on loopback. An error names the step that failed.
        target/release/glenfall demo --once
        # Runs the system under random faults, for a few seeds. Fails if a guarantee is violated.
        target/release/glenfall-lab soak --count 4 --threads 4 --seconds 8 --out target/soak-short
        # Runs a small experiment. Fails if a guarantee is violated, whatever figures it measures.
        target/release/glenfall-lab run experiments/plans/small.toml --out target/lab-small
        exit 0
    fi
    sleep 0.1
done
echo "node: not ready within 30 s" >&2
exit 1
