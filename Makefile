PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

# Its crowds of clients and its bounds of memory must meet no other load.
ALONE := tests/failures/test_hostile_clients.py

.PHONY: demo test lint check binary install clean

install: $(VENV)/installed

$(VENV)/installed: pyproject.toml
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

# The specifications are checked by spin, which is a Debian package.
/usr/bin/spin:
	apt-get update -qq
	apt-get install -y -qq spin gcc libc6-dev

demo: install
	$(BIN)/python -m standins.demo

test: install /usr/bin/spin
	$(BIN)/python -m pytest -n 4 --ignore=$(ALONE)
	$(BIN)/python -m pytest $(ALONE)

lint: install
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .
	$(BIN)/mypy

check: lint test

clean:
	rm -rf build dist

binary: install
	$(BIN)/python packaging/packaging_build.py
