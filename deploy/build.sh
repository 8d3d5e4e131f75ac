#!/bin/sh
# Puts the libraries and the packages' sources under target/, with their bytecode:
# the tree is read-only where the programs run, and each start would compile them.
set -eu
[ target/deps -nt deploy/requirements.txt ] ||
	python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
touch target/deps
fresh=target/app.$$
mkdir -p "$fresh"
for package in tables systems adapters daemon platform; do
	cp -r packages/$package/src/. "$fresh"/
done
find "$fresh" -name __pycache__ -prune -exec rm -rf {} +
# A build that changes nothing leaves the tree alone: a process that starts from it
# at that moment would find no modules.
if diff -rq -x __pycache__ "$fresh" target/app >/dev/null 2>&1; then
	rm -rf "$fresh"
else
	rm -rf target/app
	mv "$fresh" target/app
fi
python3 -m compileall -q target/app target/deps >/dev/null || true
