# Sets up one virtual environment from pinned requirements and runs every check in it.

PYTHON ?= python3.11
VENV ?= .venv
SEED ?= 1
RUNS ?= 10
SECONDS ?= 60
BIN = $(VENV)/bin
MEMBERS = $(wildcard packages/*) platform standins
CODE = packages platform standins features demo bench

.PHONY: setup lint format test explore soak capacity bench demo clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml $(addsuffix /pyproject.toml,$(MEMBERS))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach member,$(MEMBERS),-e ./$(member))
	touch $@

lint: setup
	$(BIN)/black --quiet --check $(CODE)
	$(BIN)/ruff check --quiet $(CODE)
	$(BIN)/mypy $(foreach member,$(MEMBERS),$(member)/src)

format: setup
	$(BIN)/ruff check --quiet --fix $(CODE)
	$(BIN)/black --quiet $(CODE)

test: setup
	$(BIN)/python features/run.py

explore: setup
	$(BIN)/python features/explore.py --seed $(SEED) --runs $(RUNS)

soak: setup
	$(BIN)/python features/soak.py --seed $(SEED) --seconds $(SECONDS)

capacity: setup
	$(BIN)/python -m fireflybridge_standins.capacity

bench: setup
	PYTHONPATH=features $(BIN)/python bench/run.py $(BENCH)

demo: setup
	PYTHONPATH=features $(BIN)/python demo/run.py

clean:
	rm -rf $(VENV)
