#!/bin/sh
# Builds what the cases 6 to 10 need beside the deploy file's build: their stand-ins use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review/stage.py review/6 review/7 review/8 review/9 review/10
