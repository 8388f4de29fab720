#!/usr/bin/env bash
# Checks the stand-ins and the scripts of the cases of this review. They are plain Node.js modules without dependencies
# and are run as they are: nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-2/*.mjs [0-9]*/run.mjs; do
  node --check "$file"
done
