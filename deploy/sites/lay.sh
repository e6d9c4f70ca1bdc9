#!/bin/sh
# Lays beside these sites what the bench reads there: names on the sockets, the simulator's wire, the kinds of day.
# It comes from given/, which is not part of the repository; git ignores the copies.
set -eu
here=$(dirname "$0")
kit=$here/../../../given/kit/more
[ -d "$kit" ] || { echo "lay.sh: no given/ beside the repository: nothing to lay" >&2; exit 2; }
for name in real.json wire.json; do cp "$kit/mass/other/$name" "$here/"; done
cp "$kit/mass/other/unlock.txt" "$here/"
chmod u+w "$here"/real.json "$here"/wire.json "$here"/unlock.txt
