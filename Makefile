VENV ?= .venv
PY := $(VENV)/bin/python
READY := $(VENV)/.ready

.PHONY: setup test demo measure chaos lint format

setup: $(READY)

$(READY): requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $(READY)

lint: $(READY)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .

format: $(READY)
	$(PY) -m ruff check --fix .
	$(PY) -m ruff format .

test: lint
	$(PY) -m pytest

demo: $(READY)
	PATH="$(abspath $(VENV))/bin:$$PATH" sh demo/run.sh

measure: $(READY)
	$(PY) -m dandelionarch.measure

chaos: $(READY)
	$(PY) -m dandelionarch.measure.chaos
