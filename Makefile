VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
# The same on every machine. More workers slow down each other's daemons, whose
# starts and bounds are in real time.
WORKERS ?= 4

.PHONY: demo test lint format lock

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.lock
	$(BIN)/python -m pip install -q --no-deps -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m sapphirelift.demo

# The tests start hundreds of processes. Without its byte code on disk, each of
# them compiles the package anew.
test: export PYTHONDONTWRITEBYTECODE =
test: $(VENV)/.installed
	$(BIN)/python -m pytest -n $(WORKERS) --dist=worksteal

lint: $(VENV)/.installed
	$(BIN)/python -m ruff format --check .
	$(BIN)/python -m ruff check .
	$(BIN)/python -m mypy sapphirelift

format: $(VENV)/.installed
	$(BIN)/python -m ruff format .
	$(BIN)/python -m ruff check --fix .

lock: $(VENV)/.installed
	$(BIN)/python -m pip freeze --exclude-editable --exclude sapphirelift > requirements.lock
