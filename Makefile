# VENV may point at an existing environment with requirements.txt installed.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.requirements.stamp
export PYTHONPATH = src:.
export PYTHONHASHSEED = 0
unexport PYTHONDONTWRITEBYTECODE

.PHONY: test demo bench faults soak soak-cell format lint env

env: $(STAMP)

$(STAMP): requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -qq -r requirements.txt
	$(BIN)/python -m pip install -qq --no-deps -e .
	touch $(STAMP)

test: env
	$(BIN)/python -m tools.run_tests

demo: env
	$(BIN)/python -m demo.run

bench: env
	$(BIN)/python -m bench.run

faults: env
	$(BIN)/python -m tools.run_faults

soak: env
	$(BIN)/python -m tools.run_soak

soak-cell: env
	$(BIN)/python -m tools.soak --seeds 50 --takeovers --odd_entries

format: env
	$(BIN)/ruff format .

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .
