#!/usr/bin/env bash
# The stand-ins of the scripts need no build: Python 3.11 or later and its standard library.
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
