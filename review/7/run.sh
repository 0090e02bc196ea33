#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$folder/../.." && pwd)
program="$repository/target/review-2/release/magnoliasail-review-2"
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$program" unload "$folder" "$repository"
