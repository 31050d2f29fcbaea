#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand-ins-2 ] && [ -x target/release/pollenshed ] || exit 2
exec target/review/stand-ins-2 evacuated-again review/10
