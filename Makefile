# make demo and make test are all the set-up a fresh machine needs.
PYTHON ?= python3
VENV := .venv
PY := $(VENV)/bin/python
FLEET ?= panelmtaa
export PYTHONPATH := src:.

.PHONY: demo test lint types unit bench docs clean

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $@

demo: $(VENV)/.ready
	$(PY) -m demo $(FLEET)

lint: $(VENV)/.ready
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .

types: $(VENV)/.ready
	$(PY) -m mypy

unit: $(VENV)/.ready
	$(PY) -m pytest

test: lint types unit

bench: $(VENV)/.ready
	$(PY) -m bench $(ONLY)

docs: $(VENV)/.ready
	$(PY) -m canvasyoke.state.reference configuration > docs/CONFIGURATION.md
	$(PY) -m canvasyoke.state.reference settings > docs/SETTINGS.md
	$(PY) -m bench page

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache
