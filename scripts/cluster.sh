# Functions that start a small fleet on loopback: the daemons and stand-ins for
# the platform, the engines and the services. Sourced by the other scripts. All
# addresses are 127.0.1.x; all nodes use the same ports on different addresses.

bin=${bin:-build/bin}
run=${run:-$(mktemp -d)}
platform=127.0.1.200:7000
operator_key=operator-key
node_port=8080
peer_port=8090
declare -A pids

sha256() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# start NAME COMMAND...: runs a program in the background; its output goes to
# $run/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids[$name]=$!
}

# stop NAME [SIGNAL]: sends SIGNAL (default TERM) to a program that start()
# started and waits for it to exit.
stop() {
  local pid=${pids[$1]:-}
  [ -n "$pid" ] || return 0
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
  unset "pids[$1]"
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    wait "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}

# wait_for DESCRIPTION SECONDS COMMAND...: retries a command until it succeeds
# or SECONDS have passed.
wait_for() {
  local description=$1 seconds=$2 i
  shift 2
  for ((i = 0; i < seconds * 10; i++)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "FAILED: timed out after $seconds s waiting for $description" >&2
  return 1
}

set_platform_faults() {
  curl -fsS -X PUT -d "$1" "http://$platform/control/faults"
}

start_platform() {
  start platform "$bin/standin_platform" --address 127.0.1.200 --port 7000
  wait_for platform 10 curl -fsS "http://$platform/control/calls"
}

# set_vm_list COUNT [LEAVING-BACKEND...]: sets the VM list of the platform to
# COUNT entry nodes and the named backend servers in state "leaving".
set_vm_list() {
  local count=$1 list="" i name
  shift
  for ((i = 1; i <= count; i++)); do
    list+="{\"name\":\"n$i\",\"address\":\"127.0.1.$i\",\"role\":\"entry\"},"
  done
  for name in "$@"; do
    list+="{\"name\":\"$name\",\"role\":\"backend\",\"state\":\"leaving\"},"
  done
  curl -fsS -X PUT -d "[${list%,}]" "http://$platform/control/vms" >/dev/null
}

# start_engines COUNT [SLOTS]: starts engines e1, e2, ... on 127.0.1.101 and
# following addresses, port 9000.
start_engines() {
  local i
  for ((i = 1; i <= $1; i++)); do
    start "e$i" "$bin/standin_engine" --address "127.0.1.$((100 + i))" \
      --port 9000 --slots "${2:-8}" --step-us "${step_us:-8000}"
    wait_for "engine e$i" 10 curl -fsS "http://127.0.1.$((100 + i)):9000/load"
  done
}

# start_services COUNT: starts services s1, s2, ... on 127.0.1.151 and following
# addresses, port 9100.
start_services() {
  local i
  for ((i = 1; i <= $1; i++)); do
    start "s$i" "$bin/standin_service" --address "127.0.1.$((150 + i))" \
      --port 9100
    wait_for "service s$i" 10 \
      curl -fsS "http://127.0.1.$((150 + i)):9100/control/runs"
  done
}

# write_config ENGINES SERVICES [SLOTS]: writes a configuration document to
# $run/config.json.
write_config() {
  local engines=$1 services=$2 slots=${3:-8} backends="" i
  for ((i = 1; i <= engines; i++)); do
    backends+="{\"name\":\"e$i\",\"address\":\"127.0.1.$((100 + i))\",
      \"port\":9000,\"kind\":\"engine\",\"pools\":[\"small\"],
      \"slots\":$slots,\"failure_domain\":\"fd$(((i - 1) % 3 + 1))\"},"
  done
  for ((i = 1; i <= services; i++)); do
    backends+="{\"name\":\"s$i\",\"address\":\"127.0.1.$((150 + i))\",
      \"port\":9100,\"kind\":\"service\",\"pools\":[\"orders\"],
      \"slots\":64,\"failure_domain\":\"fd$(((i - 1) % 3 + 1))\"},"
  done
  cat >"$run/config.json" <<DOCUMENT
{"classes":[
  {"name":"question","tier":0,"first_token_ms":1800,"inter_token_ms":34,
   "max_wait_ms":1500},
  {"name":"plan","tier":2,"first_token_ms":10000,"inter_token_ms":60,
   "max_wait_ms":8000},
  {"name":"order","tier":1,"first_token_ms":3000,"inter_token_ms":34,
   "max_wait_ms":2500}],
 "accounts":[
  {"name":"kerb","key_sha256":"$(sha256 kerb-key)","default_class":"question",
   "cap_tokens_per_s":50000,"cap_concurrent":2000},
  {"name":"shop","key_sha256":"$(sha256 shop-key)","default_class":"plan",
   "cap_tokens_per_s":50000,"cap_concurrent":2000}],
 "models":["small"],"services":["orders"],
 "operators":[{"name":"ops","key_sha256":"$(sha256 $operator_key)"}],
 "backend_servers":[${backends%,}]}
DOCUMENT
}

# write_settings NUMBER: writes the settings file of node nNUMBER.
write_settings() {
  cat >"$run/n$1.ini" <<SETTINGS
[node]
name = n$1
failure_domain = fd$((($1 - 1) % 3 + 1))
address = 127.0.1.$1
http_port = $node_port
peer_port = $peer_port
[platform]
address = 127.0.1.200
port = 7000
timeout = ${platform_timeout:-2s}
[security]
node_secret = a-secret-of-the-nodes
bootstrap_key_sha256 = $(sha256 $operator_key)
[membership]
seeds = 127.0.1.1,127.0.1.2
[limits]
worker_threads = ${worker_threads:-400}
entry_max_age = ${entry_max_age:-2s}
SETTINGS
}

start_node() {
  write_settings "$1"
  start "n$1" "$bin/peridotspard" --settings "$run/n$1.ini"
}

ctl() {
  local node=$1
  shift
  PERIDOTSPAR_NODE=127.0.1.$node:$node_port PERIDOTSPAR_KEY=$operator_key \
    "$bin/peridotsparctl" "$@"
}

is_ready() { curl -fsS "http://127.0.1.$1:$node_port/readyz"; }

is_alive() { curl -fsS "http://127.0.1.$1:$node_port/healthz"; }

# start_fleet NODES ENGINES SERVICES [SLOTS]: starts the platform, the backend
# servers and the nodes, and waits until all nodes are ready.
start_fleet() {
  local i
  start_platform
  set_vm_list "$1"
  start_engines "$2" "${4:-8}"
  start_services "$3"
  write_config "$2" "$3" "${4:-8}"
  for ((i = 1; i <= $1; i++)); do
    start_node "$i"
  done
  wait_for "node n1" 10 is_alive 1
  ctl 1 config apply "$run/config.json"
  for ((i = 1; i <= $1; i++)); do
    wait_for "node n$i" 10 is_ready "$i"
  done
}

# new_key: prints a version 7 UUID with the current time, for Idempotency-Key.
new_key() {
  local time random
  time=$(printf '%012x' "$(date +%s%3N)")
  random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
  echo "${time:0:8}-${time:8:4}-7${random:0:3}-8${random:3:3}-${random:6:12}"
}
