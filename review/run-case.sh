#!/bin/bash
# Plays a case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
[ -x target/review/standin ] && [ -x target/release/medlarstile ] || {
    echo "build the system and review/build.sh first" >&2
    exit 2
}
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
end_all() {
    while read -r pid; do
        case $(cat "/proc/$pid/comm" 2>/dev/null) in medlarstile*) kill -KILL "$pid" ;; esac
    done <"$REVIEW_PIDS"
    rm -f "$REVIEW_PIDS"
}
trap end_all EXIT
timeout 118 target/review/standin "$1" "review/$2/record.txt"
status=$?
[ $status -le 1 ] || status=2
exit $status
