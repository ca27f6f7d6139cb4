VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: setup test lint demo demo-platform bench ci

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 jackdawpost jackdawpost_standin bench soak
	$(BIN)/mypy

demo: setup
	$(BIN)/python -m bench.demo

demo-platform: setup
	$(BIN)/python -m bench.demo_platform

ci: test lint
