#!/bin/sh
# Plays one of the cases 6 to 10: play-2.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. Ends what it has started, also when it is ended by a signal itself.
cd "$(dirname "$0")/.." || exit 2
[ -x target/review/standin-2 ] && [ -x target/release/almondroad-node ] || exit 2
REVIEW_FOLDER=$(mktemp -d) || exit 2
export REVIEW_FOLDER
end() {
    trap - INT TERM
    kill "$standin" 2>/dev/null
    read -r id 2>/dev/null <"$REVIEW_FOLDER/process" && kill -9 "$id" 2>/dev/null
    rm -rf "$REVIEW_FOLDER"
    exit 2
}
trap end INT TERM
target/review/standin-2 "$1" target/release/almondroad-node "$2/record.txt" &
standin=$!
wait "$standin"
status=$?
rm -rf "$REVIEW_FOLDER"
[ $status -le 1 ] || status=2
exit $status
