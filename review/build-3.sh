#!/usr/bin/env bash
# Prepares what the scripts of review/7 to review/11 start beside the programs of
# the deploy file. The stand-ins are Python programs that use only its standard
# library, so that nothing is compiled; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 > /dev/null || {
  echo "python3 is missing" >&2
  exit 1
}
for program in ../target/platform/beamhill-scheduler \
  ../target/platform/beamhill-executor; do
  [[ -x $program ]] || {
    echo "$program is missing: run the build of deploy/system.toml first" >&2
    exit 1
  }
done
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import glob
import sys
sys.path.insert(0, "stand-ins-3")
import deployment
assert set(deployment.deploy_roles()) == {"front", "side"}
deployment.free_net()
for path in glob.glob("*/case.py"):
    compile(open(path).read(), path, "exec")
print("the stand-ins are ready")
PY
