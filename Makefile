PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
SEEDS ?= 10
MINUTES ?= 5
RUNS ?= 50

.PHONY: install lint format test demo bench bench-placement bench-routes bench-policy bench-gate bench-capacity fuzz proofs processes soak soak-fresh cost binary binary-test clean

install: $(VENV)/installed

$(VENV)/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

lint: install
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/flake8 src tests
	$(BIN)/mypy

format: install
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

test: install
	$(BIN)/python tests/run_known_red.py

demo: install
	PATH="$(CURDIR)/$(BIN):$$PATH" sh scripts/demo.sh

bench-placement: install
	$(BIN)/python scripts/bench_placement.py

bench: install
	PATH="$(CURDIR)/$(BIN):$$PATH" sh scripts/bench_relay.sh

bench-routes: install
	$(BIN)/python scripts/bench_routes.py

fuzz: install
	FUZZ_SEED=$(SEED) FUZZ_RUNS=$(RUNS) $(BIN)/pytest tests/proofs/test_fuzz.py -s

soak: install
	PYTHONPATH="$(CURDIR)/src" $(BIN)/python -m tests.soak --seed $(SEED) --seeds $(SEEDS)

soak-fresh: install
	PYTHONPATH="$(CURDIR)/src" $(BIN)/python -m tests.soak --minutes $(MINUTES)

cost: install
	PYTHONPATH="$(CURDIR)/src" $(BIN)/python -m tests.soak.cost

processes: install
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/pytest tests/processes -s

binary: install
	$(BIN)/python packaging/build.py dist/burdockledge

binary-test: binary
	$(BIN)/pytest packaging/test_binary.py

clean:
	rm -rf $(VENV) build dist run

bench-capacity: install
	PATH="$(CURDIR)/$(BIN):$$PATH" sh scripts/bench_capacity.sh

proofs: install
	PYTHONPATH=. $(BIN)/python -m tests.proofs.page

bench-policy: install
	PATH="$(CURDIR)/$(BIN):$$PATH" sh scripts/bench_policy.sh

bench-gate: install
	$(BIN)/burdockledge bench gate
