# Every target sets up the environment that it needs: a machine with Python 3.11 and a package index suffices.
PY = .venv/bin/python
OUT = out/bad-day

.PHONY: proto test rehearse bench lint clean

.venv/.ready: pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	.venv/bin/pip -q install -e ".[dev]"
	touch $@

rehearse: .venv/.ready
	.venv/bin/tamarindfold rehearse examples/bad-day.yaml --out $(OUT)

lint: .venv/.ready
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache --no-logo

test: lint
	$(PY) -m pytest -q -p no:cacheprovider

bench: .venv/.ready
	$(PY) benchmarks/ingress.py

proto: .venv/.ready
	for folder in tamarindfold/*/proto; do $(PY) -m grpc_tools.protoc -I $$folder --python_out=$$folder \
		--pyi_out=$$folder $$folder/*.proto; done

clean:
	rm -rf out .venv
