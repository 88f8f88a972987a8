VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: env demo test bench format

env: $(VENV)/.stamp

$(VENV)/.stamp: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: env
	$(PYTHON) demo/run.py

test: env
	$(PYTHON) tools/run_tests.py $(if $(SUMMARY),--summary $(SUMMARY))
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

bench: env
	$(PYTHON) -m bench

format: env
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
