#!/bin/sh
# The stand-ins of the scripts in review/11 to review/15 are plain modules of Node.js that need no build. This checks that they load.
cd "$(dirname "$0")/lib-3" || exit 2
for module in *.mjs; do
  node --check "$module" || exit 2
done
