#!/bin/sh
# Builds the stand-ins of the review's scripts: all are Python modules that use the
# packages which the deploy file's build has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import aiohttp"
python3 -m compileall -q review tests/__init__.py tests/support
