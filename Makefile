# Every target makes .venv by itself and needs only Python 3.11 and pip.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
EXAMPLE ?= njia-moja
PACKAGES := tables systems adapters daemon platform cli bench
STAMP := $(VENV)/.installed

.PHONY: demo test lint format measure proto

$(STAMP): constraints.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/python -m pip install -q --no-deps -r constraints.txt
	$(BIN)/python -m pip install -q --no-deps --no-build-isolation $(PACKAGES:%=-e packages/%)
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m medlarspring_bench.demo --example $(EXAMPLE)

test: $(STAMP)
	$(BIN)/python -m pytest -n 4

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy $(PACKAGES:%=packages/%/src)
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

measure: $(STAMP)
	$(BIN)/python -m medlarspring_bench.measure

# The generated modules are committed; run this after an edit of peer.proto.
proto: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc -I packages/adapters/src \
		--python_out=packages/adapters/src --pyi_out=packages/adapters/src \
		--grpc_python_out=packages/adapters/src \
		packages/adapters/src/medlarspring_adapters/peer.proto
