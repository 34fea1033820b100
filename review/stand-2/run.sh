# Sourced by the run.sh of each case: plays the case in its folder for 120 seconds at most.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
test -x "$root/review/bin/2-$case" || { echo "build first: review/build-2.sh"; exit 2; }
PROGRAMS="$root/target/release" RECORD="$PWD/record.txt" timeout -k 5 115 "$root/review/bin/2-$case"
code=$?
case $code in
    0 | 1 | 2) exit $code ;;
    *) exit 2 ;;
esac
