#!/bin/sh
# Plays this case: 0 if the rule held, 1 if it was broken, 2 if it could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
ROOT=$(cd "$here/../.." && pwd) || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"[^"]*$/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN
if [ ! -x "$ROOT/bin/gullfall" ]; then
  (cd "$ROOT" && sh -c "$(sed -n 's/^build = "\(.*\)"[^"]*$/\1/p' deploy/balancer.toml)") || exit 2
fi
if [ ! -x "$ROOT/review/bin/standin" ]; then
  "$ROOT/review/build.sh" || exit 2
fi
exec "$ROOT/review/bin/standin" spoilt "$here"
