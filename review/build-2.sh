#!/bin/sh
# Builds what the cases of the second review start beside the program itself. Their stand-ins are Python scripts.
set -e
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for script in review/lib-2/*.py; do
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$script"
done
