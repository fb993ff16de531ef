#!/bin/sh
# The stand-ins are Python modules: checks that they and all scripts load with
# nothing but the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH=target/deps EVENTLET_NO_GREENDNS=yes
python3 -S -c "import sapphirelift.standins.platform" || exit 1
python3 -S -c "import sapphirelift.standins.flow_ends" || exit 1
for file in review/harness.py review/*/run.py; do
    [ -e "$file" ] || continue
    python3 -c "import ast,sys; ast.parse(open(sys.argv[1]).read())" "$file" ||
        exit 1
done
