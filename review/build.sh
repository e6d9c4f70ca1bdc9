#!/bin/sh
# Builds the stand-ins that the cases start: Python sources only, compiled here. Run after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
