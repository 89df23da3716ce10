#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -Dsun.net.httpserver.nodelay=true -cp target/review-2 Poisoned review/9
