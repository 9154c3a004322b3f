#!/bin/sh
# Runs the script of a case five times with its disruption and once without, and
# writes the results to runs.txt in its folder.
set -u
cd "$(dirname "$0")/$1"
: >runs.txt
for Run in 1 2 3 4 5; do
  ./run.sh >last.txt
  echo "run $Run: exit $?, $(tail -n 1 last.txt)" >>runs.txt
done
cp record.txt record.kept
TROUBLE=0 ./run.sh >last.txt
echo "TROUBLE=0: exit $?, $(tail -n 1 last.txt)" >>runs.txt
mv record.kept record.txt
rm -f last.txt
