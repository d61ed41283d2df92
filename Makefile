# VENV may point to a ready environment (helpers and CI caches share one).
VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed-dev
STAMP_RUN := $(VENV)/.installed-run
JOBS ?= 6
SOURCES := jackdawsail bench test
export PYTHONPATH := $(CURDIR)

.PHONY: test lint format types check demo slow install clean size mutants

test: lint types check

$(STAMP): requirements-platform.txt requirements.txt requirements-dev.txt
	@test -x $(PY) || python3 -m venv $(VENV)
	@$(PY) -m pip install -q --disable-pip-version-check -r requirements-dev.txt
	@touch $(STAMP) $(STAMP_RUN)

$(STAMP_RUN): requirements-platform.txt requirements.txt
	@test -x $(PY) || python3 -m venv $(VENV)
	@$(PY) -m pip install -q --disable-pip-version-check -r requirements-platform.txt -r requirements.txt
	@touch $(STAMP_RUN)

install: $(STAMP)
	@$(PY) -m pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .

format: $(STAMP)
	$(PY) -m ruff format $(SOURCES)
	$(PY) -m ruff check --fix $(SOURCES)
	$(PY) -m jackdawsail.events_page > docs/events.md

lint: $(STAMP)
	$(PY) -m ruff format --check $(SOURCES)
	$(PY) -m ruff check $(SOURCES)
	$(PY) -m flake8 $(SOURCES)

types: $(STAMP)
	$(PY) -m mypy

check: $(STAMP)
	$(PY) -m pytest -n $(JOBS) --dist worksteal -m "not slow and not crowd"
	$(PY) -m pytest -m crowd test/crowds

slow: $(STAMP)
	$(PY) -m pytest -n $(JOBS) -m slow

demo: $(STAMP_RUN)
	@$(PY) -m bench demo $(if $(JSON),--json)

mutants: $(STAMP)
	$(PY) -m test.mutants

size: $(STAMP)
	$(PY) -m bench size

clean:
	rm -rf .venv build *.egg-info .mypy_cache .ruff_cache
