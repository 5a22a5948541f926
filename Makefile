# Each target installs the requirements first if they have changed.
# FILBERTLIFT_VENV is a virtual environment that several checkouts can share.

VENV ?= $(or $(FILBERTLIFT_VENV),.venv)
PY := $(VENV)/bin/python
LIBS := core config membership distribution calls mesh wire store transport \
        node sidecar cli standins harness
empty :=
space := $(empty) $(empty)
SRC := $(foreach lib,$(LIBS),$(CURDIR)/libs/$(lib)/src) $(CURDIR)/platform \
       $(CURDIR)/soak/src
export PYTHONPATH := $(subst $(space),:,$(strip $(SRC)))
SEED ?= 1
SEEDS ?= 1

.PHONY: setup demo test lint format measure fuzz soak soak-platform

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -qq -r requirements.txt
	touch $@

demo: setup
	$(PY) -m filbertlift_harness.demo

test: setup
	$(PY) -m pytest

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(PY) tools/check_imports.py
	$(PY) -m mypy $(SRC)

format: setup
	$(VENV)/bin/ruff check --fix-only .
	$(VENV)/bin/ruff format .

measure: setup
	$(PY) -m filbertlift_harness.measure

fuzz: setup
	HYPOTHESIS_PROFILE=fuzz $(PY) -m pytest
	$(PY) tools/check_mutations.py

soak: setup
	$(PY) -m filbertlift_harness.soak --seed $(SEED)

soak-platform: setup
	$(PY) -m filbertlift_soak.main --seed $(SEED) --seeds $(SEEDS)
