#!/bin/sh
# play.sh CASE FOLDER: plays a case of the third review and writes record.txt into its folder.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
record=$(cd "$2" && pwd)/record.txt
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-3/standin
[ -x "$standin" ] && [ -x target/release/marlrund ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
# Ends what the script started, and removes its folder, however it ends.
clean() {
    [ -n "$player" ] && kill "$player" 2>/dev/null && wait "$player"
    for pid in $(cat "$folder/pids" 2>/dev/null); do
        [ "$(readlink "/proc/$pid/exe")" = "$PWD/target/release/marlrund" ] && kill -9 "$pid"
    done
    rm -rf "$folder"
}
player=
trap clean EXIT
trap 'exit 2' INT TERM HUP
ROOT=$PWD FOLDER=$folder RECORD=$record timeout -k 1 117 "$standin" "$1" &
player=$!
wait "$player"
result=$?
player=
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
