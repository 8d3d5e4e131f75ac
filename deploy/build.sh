#!/bin/sh
# Puts the libraries and the packages' sources under target/, with their bytecode:
# the tree is read-only where the programs run, and each start would compile them.
set -eu
[ target/deps -nt deploy/requirements.txt ] ||
	python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
touch target/deps
rm -rf target/app
mkdir -p target/app
for package in tables systems adapters daemon platform; do
	cp -r packages/$package/src/. target/app/
done
python3 -m compileall -q target/app target/deps >/dev/null || true
