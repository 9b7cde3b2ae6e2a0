#!/bin/sh
# play.sh CASE FOLDER: plays a case of the third review and writes record.txt into its folder.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
record=$(cd "$2" && pwd)/record.txt
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-3/standin
[ -x "$standin" ] && [ -x target/release/marlrund ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
ROOT=$PWD FOLDER=$folder RECORD=$record timeout -k 2 118 "$standin" "$1"
result=$?
# Ends the routers that the stand-in started, if any is left.
for pid in $(cat "$folder/pids" 2>/dev/null); do
    [ "$(readlink "/proc/$pid/exe")" = "$PWD/target/release/marlrund" ] && kill -9 "$pid"
done
rm -rf "$folder"
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
