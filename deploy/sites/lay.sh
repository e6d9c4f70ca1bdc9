#!/bin/sh
# Copies the files that the bench (the operators' simulator) reads beside the site descriptions: the wire names and
# protocol of the simulator, and the scenarios. They come from given/, which is not part of the repository, and git
# ignores the copies.
set -eu
here=$(dirname "$0")
kit=$here/../../../given/kit/more
[ -d "$kit" ] || { echo "lay.sh: no given/kit/more directory beside the repository: nothing to copy" >&2; exit 2; }
for name in real.json wire.json; do cp "$kit/mass/other/$name" "$here/"; done
cp "$kit/mass/other/unlock.txt" "$here/"
chmod u+w "$here"/real.json "$here"/wire.json "$here"/unlock.txt
