#!/bin/sh
# A daemon gets SIGTERM, and a second later long prompts on connections that callers keep. Exits with 1 if one of
# them ends without an answer though no server ever got it, 0 if none does, 2 if the case could not
# run. TROUBLE=0: the same without the SIGTERM.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/buckthorndockd" ] && [ -x "$root/target/review-stand2" ] || exit 2
exec "$root/target/review-stand2" "$root" "$here" drain
