#!/bin/sh
# The stand-ins of cases 4 and later are plain JavaScript on libraries that the build of the deploy file installs: nothing is
# compiled. Exits with 1 if one of them can't be read.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib-2/*.mjs review/[4-8]/*.mjs; do
  node --check "$file" || exit 1
done
