# Needs Python 3.11 and pip. The targets demo, test, lint and format create the
# virtual environment if it does not exist.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= vakaloloma
PACKAGES := packages/galenaquay-api packages/galenaquay \
	packages/galenaquay-standins packages/galenaquayctl platform

.PHONY: setup demo test lint format lock capacity clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation \
		$(addprefix -e ,$(PACKAGES))
	touch $@

demo: setup
	$(BIN)/python tools/demo.py --deployment $(DEPLOYMENT)

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/ruff format --check packages platform tests tools
	$(BIN)/flake8 packages platform tests tools
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format packages platform tests tools

lock:
	tools/lock.sh

clean:
	rm -rf $(VENV) .run
