#!/bin/sh
# The stand-ins are Python programs that use the standard library only; this
# checks that they compile. The platform programs come from the build of
# deploy/system.toml.
cd "$(dirname "$0")" || exit 1
for file in common/*.py [1-5]/*.py; do
    if [ -e "$file" ]; then
        PYTHONDONTWRITEBYTECODE=1 python3 -c \
            'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
            "$file" || exit 1
    fi
done
