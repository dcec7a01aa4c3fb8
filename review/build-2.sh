#!/bin/bash
# Builds what the scripts of review/6 to review/10 start beside the project's
# own program. Their stand-ins are plain modules of Node.js, which need no
# build: this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in harness-2.mjs {6,7,8,9,10}/case.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
