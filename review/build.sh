#!/bin/sh
# Puts the stand-ins of the review's scripts under target/review. They need only the
# standard library and what the build of the deploy file has put under target/deps.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp review/common/*.py target/review/
python3 -m compileall -q target/review
