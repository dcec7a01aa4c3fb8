#!/bin/sh
# The stand-ins of the cases are plain modules of Node.js without dependencies,
# so nothing is built; this checks that the program of the deploy file is there.
cd "$(dirname "$0")/.." || exit 1
for file in review/harness.mjs review/standins.mjs review/*/run.mjs; do
  node --check "$file" || exit 1
done
test -f target/nutmegreel.mjs || echo "target/ is missing: run the build of the deploy file first"
