# Every target sets up what it needs: a clean clone needs only python3 and make.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
CASES ?=

.PHONY: test demo binary bench faults mutants search soak format check clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/pytest $(CASES)

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: $(STAMP)
	$(BIN)/python -m demo

clean:
	rm -rf $(VENV) dist build

binary: $(STAMP)
	rm -rf build/site dist
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes --target build/site -r requirements-run.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --target build/site .
	mkdir -p dist
	$(BIN)/shiv --site-packages build/site --entry-point carawaywheel.main:run --python "/usr/bin/env python3" --output-file dist/carawaywheel
	SHIV_ROOT=build/shiv $(BIN)/python -m bench.binary dist/carawaywheel

# A long search of the state machines: make search SEED=7 CASES=tests/test_shares.py
search: $(STAMP)
	HYPOTHESIS_PROFILE=search $(BIN)/pytest --hypothesis-seed=$(or $(SEED),0) $(CASES)

# Faults against real nodes by a seeded schedule: make soak SEED=7 SECONDS=60
# (docs/soak.md).
soak: $(STAMP)
	$(BIN)/python -m soak --seed $(or $(SEED),1) --seconds $(or $(SECONDS),60) $(SOAK_OPTIONS)

# The table of faults and the tests that prove them: docs/FAULTS.md.
faults: $(STAMP)
	$(BIN)/python -m bench.faults

# Breaks the source in small ways and checks that the tests notice.
mutants: $(STAMP)
	$(BIN)/python -m bench.mutants

# All measurements, as tables and a plot in out/. Takes about six minutes; figures of
# time and processor use need a machine that is otherwise idle.
bench: $(STAMP)
	mkdir -p out
	$(BIN)/python -m bench.overload --seed 7 --mesh silt-sable
	$(BIN)/python -m bench.overload --seed 7 --mesh okonkwo
	$(BIN)/python -m bench.rates --seed 7
	$(BIN)/python -m bench.routing --seed 7
	$(BIN)/python -m bench.coldtargets --seed 7
	$(BIN)/python -m bench.membership --seed 7
	$(BIN)/python -m bench.capacity
	$(BIN)/python -m bench.connections
	$(BIN)/python -m bench.latency --plot out/latency.svg
