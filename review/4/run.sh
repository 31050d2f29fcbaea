#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. See claim.txt.
set -u
# TROUBLE=0 runs the case without its disruption.
export TROUBLE=${TROUBLE:-1}
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
end() {
  for file in "$CASE_TMP"/*.pid; do
    [ -f "$file" ] || continue
    pid=$(cat "$file")
    # Ends the instance only if it is still the one that was started here.
    if { tr '\0' '\n' <"/proc/$pid/environ"; } 2>/dev/null | grep -q "^POLLENSHED_NODE_FILE=$CASE_TMP/"; then
      kill -KILL "$pid"
    fi
  done
  rm -rf "$CASE_TMP"
}
trap end EXIT
timeout -k 2 110 target/review/stand-ins "$(basename "$case_folder")" "$case_folder"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
