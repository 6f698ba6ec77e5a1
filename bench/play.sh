#!/usr/bin/env bash
# Plays our own days on a site and prints one row each, with broken rules behind.
#
#     bench/play.sh BENCH SITE
#
# BENCH is the users' bench program, SITE one of its site files.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
site=$2
for day in bench/days/*.toml; do
	"$bench" run "$site" "$day" --why "own day $(basename "$day" .toml)" 2>&1 |
		grep -E "^$(basename "$day" .toml)|^rules broken|^[A-Z]+ at |^short of" || echo "$(basename "$day" .toml): not played"
done
