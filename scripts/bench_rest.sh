#!/usr/bin/env bash
# Measures hosts at rest: calls to the platform, processor time, memory and bytes between hosts, for
# 1, 2, 4 and 8 hosts on loopback with one database group. Ends with this script.
# Usage: scripts/bench_rest.sh [SECONDS]   (builds the release binary first)
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:-20}"
[ -n "${BENCH_NO_BUILD:-}" ] || cargo build --release --locked --quiet
binary=target/release/medlarstile
work="$(mktemp -d)"
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
start() {
  local name="$1"
  shift
  "$binary" --log info "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  last_pid=$!
  local tries=0
  until [ -s "$work/$name.out" ]; do
    kill -0 "$last_pid" || { cat "$work/$name.err" >&2; exit 1; }
    sleep 0.1; [ $((++tries)) -lt 200 ] || { cat "$work/$name.err" >&2; exit 1; }
  done
}
field() { sed -n "1s/.*$2=\([^ ]*\).*/\1/p" "$work/$1.out"; }
post() { curl --silent --show-error --fail --noproxy '*' -X POST "http://$platform/$1" --data "$2"; }
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/{print $2}' "/proc/$1/status"; }

echo "cores=$(nproc) seconds=$seconds"
for hosts in 1 2 4 8; do
  start platform emulate platform
  platform="$(field platform platform)"
  start a emulate endpoint --id a --primary a --max-connections 64
  pool="{\"pool\":\"p\",\"group\":\"g\",\"endpoint\":\"a\",\"address\":\"$(field a postgres)\","
  pool+="\"failure_domain\":\"fd1\",\"slots\":2,\"connections\":64,\"state\":\"active\"}"
  route="{\"name\":\"open\",\"database\":\"d\",\"account\":\"*\",\"rate_per_s\":1000,\"burst\":1000,"
  route+="\"weight\":1,\"pool\":\"p\",\"freshness\":\"session\",\"max_wait_ms\":5000}"
  config="{\"version\":1,\"editor\":\"bench\",\"attempt\":1,\"routes\":[$route],\"pools\":[$pool]}"
  post v1/transaction \
    "{\"checks\":[],\"writes\":[{\"table\":\"config\",\"key\":\"current\",\"value\":$config}]}" >/dev/null
  host_pids=()
  for n in $(seq "$hosts"); do
    start "h$n" host --host-id "h$n" --failure-domain fd1 --listen 127.0.0.1:0 \
      --peer-listen 127.0.0.1:0 --platform "$platform" --endpoint-user proxy \
      --endpoint-password proxy-password --fleet-secret "secret of the benchmark" \
      --drain-notice-ms 0
    host_pids+=("$last_pid")
  done
  sleep 3
  post control '{"reset_counters":true}' >/dev/null
  before=(); for pid in "${host_pids[@]}"; do before+=("$(ticks "$pid")"); done
  sleep "$seconds"
  counters="$(curl --silent --noproxy '*' "http://$platform/control")"
  spent=0; memory=0
  for i in "${!host_pids[@]}"; do
    spent=$((spent + $(ticks "${host_pids[$i]}") - before[i]))
    memory=$((memory + $(rss "${host_pids[$i]}")))
  done
  echo "hosts=$hosts cpu_percent_a_host=$(awk "BEGIN{print 100*$spent/$(getconf CLK_TCK)/$seconds/$hosts}")" \
    "rss_kib_a_host=$((memory / hosts)) platform=$counters"
  kill -TERM "${host_pids[0]}"
  for _ in $(seq 100); do kill -0 "${host_pids[0]}" 2>/dev/null || break; sleep 0.1; done
  grep -h "was connected" "$work/h1.err" | sed 's/.*peer:/  peer:/' || true
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=(); rm -f "$work"/*
done
