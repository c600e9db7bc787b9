PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench bench-policy capacity fault-matrix \
	fault-matrix-check

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/lacewingpitch demo

test: $(STAMP)
	$(BIN)/pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .

bench: $(STAMP)
	$(BIN)/python -m benchmarks.path

bench-policy: $(STAMP)
	$(BIN)/python -m benchmarks.policy

capacity: $(STAMP)
	$(BIN)/python -m benchmarks.capacity

fault-matrix: $(STAMP)
	$(BIN)/python -m tests.fault_matrix

fault-matrix-check: $(STAMP)
	$(BIN)/python -m tests.fault_matrix --check
