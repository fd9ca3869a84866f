# Commands for developers; each one installs what it needs into $(VENV) first.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
FAULTS ?= 0
SEED ?= 1
EXAMPLES ?= 200
SECONDS ?= 30
# Sets of strings iterate in one order, so that every run gives the same verdict.
export PYTHONHASHSEED := 0

.PHONY: demo test lint format bench fuzz soak replay

$(VENV)/.installed: pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev]'
	touch $@

demo: | $(VENV)/.installed
	@PYTHONPATH=src $(PYTHON) -m verbenawind.standins.demo --faults=$(FAULTS) --seed=$(SEED)

test: | $(VENV)/.installed
	$(PYTHON) -m pytest --numprocesses=4

lint: | $(VENV)/.installed
	$(VENV)/bin/black --check --quiet src tests bench
	$(VENV)/bin/ruff check --quiet src tests bench
	$(VENV)/bin/mypy --no-error-summary

format: | $(VENV)/.installed
	$(VENV)/bin/black --quiet src tests bench
	$(VENV)/bin/ruff check --quiet --fix src tests bench

bench: | $(VENV)/.installed
	PYTHONPATH=src $(PYTHON) -m bench

fuzz: | $(VENV)/.installed
	VERBENAWIND_FUZZ_SEED=$(SEED) VERBENAWIND_FUZZ_EXAMPLES=$(EXAMPLES) $(PYTHON) -m pytest tests/fuzz

soak: | $(VENV)/.installed
	PYTHONPATH=src:tests $(PYTHON) -m soak --seed=$(SEED) --seconds=$(SECONDS)

replay: | $(VENV)/.installed
	PYTHONPATH=src $(PYTHON) -m verbenawind.traces tests/traces/*.jsonl tests/traces/long/*.jsonl
