#!/bin/sh
# Builds the programs of cases 4 to 8. Their clients, servers and operator are threads of these programs, so there is no
# other stand-in. They use the standard library alone; latchmount itself is built by the deploy file's command.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review-2/case-$number" "$case"
done
