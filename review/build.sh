#!/bin/sh
# The stand-ins of the cases are plain modules for Node.js without dependencies: nothing is compiled, only checked.
set -eu
cd "$(dirname "$0")"
for file in common/*.mjs */run.mjs other/*.mjs; do
  node --check "$file"
done
