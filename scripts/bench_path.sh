#!/usr/bin/env bash
# Measures the path through one host against a direct connection to an emulated endpoint, and the
# memory per idle caller connection. Everything runs on loopback and ends with this script.
# Usage: scripts/bench_path.sh [SECONDS]   (builds the release binary first)
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:-5}"
[ -n "${BENCH_NO_BUILD:-}" ] || cargo build --release --locked --quiet
binary=target/release/medlarstile
work="$(mktemp -d)"
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
ulimit -n "$(ulimit -Hn)"

# Starts a process, waits until it has printed its first line, and prints that line.
start() {
  local name="$1"
  shift
  "$binary" --log "${BENCH_LOG:-warn}" "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  last_pid=$!
  local tries=0
  until [ -s "$work/$name.out" ]; do
    kill -0 "$last_pid" || { cat "$work/$name.err" >&2; exit 1; }
    sleep 0.05; [ $((++tries)) -lt 100 ] || { cat "$work/$name.err" >&2; exit 1; }
  done
}
field() { sed -n "1s/.*$2=\([^ ]*\).*/\1/p" "$work/$1.out"; }

start platform emulate platform
platform="$(field platform platform)"
members=()
for id in a b c; do
  start "$id" emulate endpoint --id "$id" --slots 64 --max-connections 400 --lag-ms 0
  members+=("\"$id=$(field "$id" postgres)=$(field "$id" replication)\"")
done
list="$(IFS=,; echo "${members[*]}")"
for id in a b c; do
  control="$(field "$id" control)"
  exec 3<>"/dev/tcp/${control%:*}/${control##*:}"
  echo "{\"op\":\"members\",\"members\":[$list],\"primary\":\"a\"}" >&3
  read -r _ <&3
  exec 3>&-
done
pools=""
for id in a b c; do
  pools+="{\"pool\":\"p\",\"group\":\"g\",\"endpoint\":\"$id\",\"address\":\"$(field "$id" postgres)\","
  pools+="\"failure_domain\":\"fd1\",\"slots\":64,\"connections\":128,\"state\":\"active\"},"
done
route="{\"name\":\"open\",\"database\":\"load\",\"account\":\"*\",\"rate_per_s\":10000000,"
route+="\"burst\":10000000,\"weight\":1,\"pool\":\"p\",\"freshness\":\"session\",\"max_wait_ms\":5000}"
config="{\"version\":1,\"editor\":\"bench\",\"attempt\":1,\"routes\":[$route],\"pools\":[${pools%,}]}"
curl --silent --show-error --fail --noproxy '*' -X POST "http://$platform/v1/transaction" \
  --data "{\"checks\":[],\"writes\":[{\"table\":\"config\",\"key\":\"current\",\"value\":$config}]}" \
  >"$work/commit"
start host host --host-id h1 --failure-domain fd1 --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 \
  --platform "$platform" --endpoint-user proxy --endpoint-password proxy-password \
  --fleet-secret "secret of the benchmark"
host_pid="$last_pid"
host="$(field host callers)"
direct="$(field a postgres)"

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
measure() {
  local label="$1" pid="$2"
  shift 2
  local before after
  before="$(cpu_ticks "$pid")"
  "$binary" --log error load --user proxy --password proxy-password --database load \
    --seconds "$seconds" --format json "$@" >"$work/result"
  after="$(cpu_ticks "$pid")"
  echo "$label cpu_s=$(awk "BEGIN{print ($after-$before)/$(getconf CLK_TCK)}") $(cat "$work/result")"
}
echo "cores=$(nproc) seconds=$seconds binary=$("$binary" --version)"
for mode in read write; do
  for prepared in "" --prepared; do
    for connections in 1 32; do
      flags=(--mode "$mode" --connections "$connections")
      [ -z "$prepared" ] || flags+=("$prepared")
      measure "direct $mode$prepared connections=$connections" "$host_pid" --target "$direct" "${flags[@]}"
      measure "host   $mode$prepared connections=$connections" "$host_pid" --target "$host" "${flags[@]}"
    done
  done
done
rss_kib() { awk '/VmRSS/{print $2}' "/proc/$1/status"; }
echo "idle connections=0 rss_kib=$(rss_kib "$host_pid")"
for idle in 200 1000 2000; do
  mkfifo "$work/fifo"
  "$binary" --log error load --target "$host" --user idle --database load --connections 0 \
    --idle "$idle" --seconds 3 >"$work/fifo" &
  load_pid=$!
  exec 4<"$work/fifo"
  read -r line <&4
  echo "idle ${line#open } rss_kib=$(rss_kib "$host_pid")"
  cat <&4 >"$work/rest"
  exec 4<&-
  wait "$load_pid"
  rm "$work/fifo"
done
