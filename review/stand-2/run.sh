# Sourced by the run.sh of each case: plays the case in its folder, for 120 seconds at most.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -x "$root/target/release/alderway" ] || [ ! -x "$root/review/bin/2-$case" ]; then
    echo "build first: review/build-2.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The programs that the case starts end with it, whatever ends it.
TMPDIR="$folder" PROGRAMS="$root/target/release" RECORD="$PWD/record.txt" \
    timeout -k 5 110 "$root/review/bin/2-$case" > /dev/null
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
