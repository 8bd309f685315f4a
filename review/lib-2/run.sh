#!/bin/sh
# run.sh NUMBER CASE: runs a case with the daemon that the deploy file builds.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/release/pomelohitchd
tool=target/review-2/release/review-2
if [ ! -x "$program" ] || [ ! -x "$tool" ]; then
    echo "build the deploy file's program and review/build-2.sh first" >&2
    exit 2
fi
temp=$(mktemp -d) || exit 2
end() {
    # The case ends its processes itself; these are left only if it was killed.
    if [ -f "$temp/pids" ]; then
        while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$temp/pids"
    fi
    rm -rf "$temp"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout 118 "$tool" "$2" "$program" "$temp" "review/$1/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
