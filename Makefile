PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint check binary install clean

install: $(VENV)/installed

$(VENV)/installed: pyproject.toml
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: install
	$(BIN)/python -m standins.demo

test: install
	$(BIN)/python -m pytest

lint: install
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .
	$(BIN)/mypy

check: lint test

clean:
	rm -rf build dist

binary: install
	$(BIN)/python packaging/build.py
