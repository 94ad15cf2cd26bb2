#!/usr/bin/env bash
# Builds what the scripts start besides the deploy file's build. The stand-ins are plain
# JavaScript on Node.js alone, so they are only checked.
set -eu
cd "$(dirname "$0")/.."
for file in review/harness/*.js review/*/case.js; do node --check "$file"; done
