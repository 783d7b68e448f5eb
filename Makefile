# make demo and make test are the two commands of the README.
PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test fleet bench lint types format clean

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/deckdrum-bench demo

fleet: $(VENV)/.installed
	$(BIN)/deckdrum-standin fleet

bench: $(VENV)/.installed
	$(BIN)/deckdrum-bench all

lint: $(VENV)/.installed
	$(BIN)/ruff format --check deckdrum
	$(BIN)/ruff check deckdrum
	$(BIN)/flake8 deckdrum

types: $(VENV)/.installed
	$(BIN)/mypy

test: lint types
	$(BIN)/pytest

format: $(VENV)/.installed
	$(BIN)/ruff check --fix-only --quiet deckdrum || true
	$(BIN)/ruff format deckdrum

clean:
	rm -rf $(VENV) build *.egg-info
