#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 nothing disturbs the deployment.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=review/build/scene$(basename "$folder")
[ -x "$program" ] && [ -x target/bin/peridotspard ] || exit 2
exec timeout -k 2 110 "$program" "$folder"
