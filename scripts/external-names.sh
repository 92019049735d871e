#!/usr/bin/env bash
# Checks that each name in external-names.txt still stands in the sources, settings or fixtures: fields and values of
# messages, stored fields, file names, settings, flags, environment variables, metrics, and error texts in responses.
# A name that an attribute makes (`rename_all`, a clap variant) counts where its identifier stands.
set -euo pipefail
cd "$(dirname "$0")/.."
list=scripts/external-names.txt

sources=$(mktemp)
trap 'rm -f "$sources" "$sources".*' EXIT
git ls-files '*.rs' '*.toml' '*.json' '*.py' | grep -v '^journal/' | xargs cat >"$sources"
grep -oE '[A-Za-z0-9_]+' "$sources" | sort -u >"$sources.words"

# The identifiers that an attribute may derive a name from, one a line.
identifiers() {
    sed -E 's/([a-z0-9])([A-Z])/\1_\2/g; s/[-_]/_/g' <<<"$1" | tr '[:upper:]' '[:lower:]'
    sed -E 's/(^|[-_])([a-z])/\U\2/g' <<<"$1"
}

missing=0
while IFS= read -r name; do
    [ -n "$name" ] || continue
    grep -qxF -- "$name" "$sources.words" && continue
    if [[ $name =~ ^[A-Za-z0-9_-]+$ ]] && identifiers "$name" | grep -qxFf - "$sources.words"; then
        continue
    fi
    grep -qF -- "$name" "$sources" && continue
    echo "$list: '$name' stands in no source, setting or fixture" >&2
    missing=$((missing + 1))
done <"$list"
[ "$missing" -eq 0 ] || exit 1
echo "external names: $(grep -c . "$list") found"
