#!/usr/bin/env bash
# The whole test command: formatting, lints, release build, all tests, and a start of both programs and of the
# whole system.
# Needs cargo and bash only. Any failure ends it with a non-zero exit.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo fmt --check
# The names that leave the process stand as they were.
scripts/external-names.sh
cargo clippy --workspace --all-targets --locked -- -D warnings
# Bounds on functions are in clippy.toml. They do not hold for tests, which are tables.
cargo clippy --workspace --no-deps --locked -- -D warnings \
    -W clippy::too_many_lines -W clippy::cognitive_complexity
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
cargo build --workspace --release --locked
# All tests but those that KNOWN-RED.txt lists; how those end is printed.
mapfile -t skips < <(scripts/known-red.sh skips)
[ "${#skips[@]}" -gt 0 ] || exit 1
cargo test --workspace --locked -- "${skips[@]}"
scripts/known-red.sh report

# The adapter answers an empty batch with an empty reply.
reply=$(printf 'sync 1.5\ngo\n' | target/release/glenfall-adapter)
[ "$reply" = ack ] || { echo "adapter: 'ack' expected, got '$reply'" >&2; exit 1; }
echo "adapter answers an empty batch"

# The node, on ports of its own, until it says that it is ready; then SIGTERM ends it with success.
out=$(mktemp)
LB_NAME=n0 LB_LISTEN=127.0.0.1:0 LB_DISCOVERY=127.0.0.1:1 LB_CONFIG=deploy/example.json \
    target/release/glenfall-node >"$out" 2>/dev/null &
node=$!
trap 'kill "$node" 2>/dev/null || true; rm -f "$out"' EXIT
ready() {
    local address line
    address=$(sed -n 's/.* listens on //p' "$out")
    [ -n "$address" ] || return 1
    exec 3<>"/dev/tcp/${address%:*}/${address##*:}" || return 1
    printf 'GET /health/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n' >&3
    read -r line <&3
    exec 3>&-
    [[ $line == "HTTP/1.1 200"* ]]
}
for _ in $(seq 300); do
    if ready; then
        kill "$node"
        wait "$node"
        echo "node is ready and ends on SIGTERM"
        # The system, on loopback ports of its own: each step of the path, or an error that names it.
        target/release/glenfall demo --once
        # The same under troubles, for a few seeds: it fails where a promise is broken.
        target/release/glenfall-lab soak --count 4 --threads 4 --seconds 8 --out target/soak-short
        # A small experiment: it fails where a promise is broken, not by what it measures.
        target/release/glenfall-lab run experiments/plans/small.toml --out target/lab-small
        exit 0
    fi
    sleep 0.1
done
echo "node: not ready within 30 s" >&2
exit 1
