PYTHON := .venv/bin/python
export PYTHONPATH := src:.

.PHONY: demo test format lint types bench slopes soak lab clean

.venv/ready: requirements.lock
	test -x $(PYTHON) || python3.11 -m venv .venv
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements.lock
	touch $@

demo: .venv/ready
	$(PYTHON) tools/demo.py

test: .venv/ready
	$(PYTHON) -m pytest

format: .venv/ready
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

lint: .venv/ready
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) tools/check_imports.py
	$(PYTHON) tools/check_platform.py

types: .venv/ready
	$(PYTHON) -m mypy

bench: .venv/ready
	$(PYTHON) tools/bench.py
	$(PYTHON) tools/bench_udp.py

slopes: .venv/ready
	$(PYTHON) tools/slopes.py

soak: .venv/ready
	$(PYTHON) -m tools.soak --fresh --count 6

clean:
	rm -rf .venv target .mypy_cache .ruff_cache .pytest_cache
