#!/bin/sh
# Builds what the scripts of cases 4 to 8 start beside the daemons: the stand-ins are Python, so they are only checked.
set -e
cd "$(dirname "$0")/.."
for file in review/standin2/*.py review/[4-8]/*.py; do
    [ -e "$file" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
test -x target/release/spokeliftd
