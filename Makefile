PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench bench-account bench-caller-loss \
	bench-claims \
	bench-contracts bench-homes bench-hop bench-limits bench-order \
	bench-pace bench-policy bench-policy-trace bench-retries \
	bench-server-backoff \
	bench-server-limits \
	bench-silence bench-silent-servers \
	bench-store-return bench-suspect-parts bench-suspects bench-usage \
	deploy-check capacity capacity-platform fault-matrix \
	fault-matrix-check regression

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/lacewingpitch demo

test: $(STAMP)
	$(BIN)/pytest
	$(BIN)/pytest -n 0 -m crowd

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8
	$(BIN)/mypy

# Builds as the deploy file says, and starts each program with what was
# built alone.
deploy-check: $(STAMP)
	$(BIN)/python -m tests.deploy_check

format: $(STAMP)
	$(BIN)/ruff format .

bench: $(STAMP)
	$(BIN)/python -m benchmarks.path

bench-account: $(STAMP)
	$(BIN)/python -m benchmarks.account

bench-caller-loss: $(STAMP)
	$(BIN)/python -m benchmarks.caller_loss

bench-claims: $(STAMP)
	$(BIN)/python -m benchmarks.claims

bench-contracts: $(STAMP)
	$(BIN)/python -m benchmarks.contracts

bench-hop: $(STAMP)
	$(BIN)/python -m benchmarks.path_hop

bench-homes: $(STAMP)
	$(BIN)/python -m benchmarks.home_questions

bench-limits: $(STAMP)
	$(BIN)/python -m benchmarks.limits

bench-order: $(STAMP)
	$(BIN)/python -m benchmarks.order

bench-pace: $(STAMP)
	$(BIN)/python -m benchmarks.engine_pace

bench-policy: $(STAMP)
	$(BIN)/python -m benchmarks.policy

bench-policy-trace: $(STAMP)
	$(BIN)/python -m benchmarks.policy_trace

bench-retries: $(STAMP)
	$(BIN)/python -m benchmarks.retries

bench-server-backoff: $(STAMP)
	$(BIN)/python -m benchmarks.server_backoff

bench-server-limits: $(STAMP)
	$(BIN)/python -m benchmarks.server_limits

bench-silence: $(STAMP)
	$(BIN)/python -m benchmarks.silence

bench-silent-servers: $(STAMP)
	$(BIN)/python -m benchmarks.silent_servers

bench-store-return: $(STAMP)
	$(BIN)/python -m benchmarks.store_return

bench-suspect-parts: $(STAMP)
	$(BIN)/python -m benchmarks.suspect_parts

bench-suspects: $(STAMP)
	$(BIN)/python -m benchmarks.suspects

bench-usage: $(STAMP)
	$(BIN)/python -m benchmarks.usage

capacity: $(STAMP)
	$(BIN)/python -m benchmarks.capacity

capacity-platform: $(STAMP)
	$(BIN)/python -m benchmarks.capacity_platform

fault-matrix: $(STAMP)
	$(BIN)/python -m tests.fault_matrix

fault-matrix-check: $(STAMP)
	$(BIN)/python -m tests.fault_matrix --check

# Scores deployments of the users' bench, which lie outside the repository:
# make regression FLEETBENCH=PROGRAM SITES="FILE ..."
regression:
	for site in $(SITES); do \
		$(FLEETBENCH) score $$site --jobs 4 --why regression || exit 1; \
	done
