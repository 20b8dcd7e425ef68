#!/bin/sh
# Builds the stand-ins that the scripts start: they are plain modules of Node.js,
# so that only their syntax is checked. They use no part of the project.
cd "$(dirname "$0")" || exit 2
for module in lib/*.mjs [0-9]/*.mjs; do
  node --check "$module" || exit 1
done
