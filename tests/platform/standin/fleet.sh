# Functions that start a small fleet of entry nodes on loopback, as on the
# cooperative platform: the daemons and stand-ins for the object store and the
# engines. Sourced after cluster.sh. Nodes have the addresses $fleet_net.x, and
# each has its own port of the store; engines start at $fleet_net.101. Fleets
# that run at the same time need different values of $fleet_net.

fleet_net=${fleet_net:-127.0.2}
store_host=$fleet_net.200
store_port=7100
callers_port=8100
ready_port=8101
directory_port=8102
node_peer_port=8103
metrics_port=8104
engine_port=9200

store_calls() { curl -fsS "http://$store_host:$store_port/control/calls"; }

# set_store_faults JSON: sets the faults that the store stand-in injects.
set_store_faults() {
  curl -fsS -X PUT -d "$1" "http://$store_host:$store_port/control/faults" \
    >/dev/null
}

# put_object KIND NAME SPEC: creates or replaces an object in the store.
put_object() {
  local base=http://$store_host:$store_port/v1/objects/$1
  curl -fsS -X POST "$base" >/dev/null 2>&1 \
    -d "{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}" ||
    curl -fsS -X PUT "$base/$2" -d "{\"spec\":$3}" >/dev/null
}

remove_object() {
  curl -fsS -X DELETE "http://$store_host:$store_port/v1/objects/$1/$2" \
    >/dev/null
}

# entry_config VERSION [MORE-ROUTES]: prints an operator's configuration object.
entry_config() {
  local limits='"timeout_ms":60000,"slo_ms":500,"priority":1'
  cat <<CONFIG
{"version":$1,"routes":[
 {"host":"h","path_prefix":"/stream/","kind":"streaming","service":"model",
  "itl_target_ms":200,"max_attempts":1,$limits},
 {"host":"h","path_prefix":"/beside/","kind":"streaming","service":"beside",
  "itl_target_ms":200,"max_attempts":1,$limits},
 {"host":"h","path_prefix":"/resumable/","kind":"streaming","service":"model",
  "resumable":true,"itl_target_ms":200,"max_attempts":2,$limits},
 {"host":"h","path_prefix":"/once/","kind":"unsafe","service":"model",
  "max_attempts":1,$limits},
 {"host":"h","path_prefix":"/safe/","kind":"safe","service":"model",
  "max_attempts":2,$limits}${2:-}],
 "services":[{"name":"model","health_path":"/healthz","max_conns":900,
  "engine":{"slots":800,"kv_capacity":100000000}},
  {"name":"beside","health_path":"/healthz","max_conns":900,
  "engine":{"slots":800,"kv_capacity":100000000}}],
 "tenants":[{"name":"shop","api_keys":["key"]}],
 "limits":{"header_bytes":16384,"body_bytes":1048576,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}}
CONFIG
}

# put_raw NAME [KIND]: creates an entry of another writer; standard input is its
# content, byte by byte.
put_raw() {
  curl -fsS -X PUT --data-binary @- --url-query "kind=${2:-servers}" \
    --url-query "name=$1" "http://$store_host:$store_port/control/raw" \
    >/dev/null
}

# put_odd_entries: creates entries that name no server to use, among them one
# whose bytes break the text of the page around it.
put_odd_entries() {
  local name
  for name in 'h&x' 'h x' 'h%x' 'h+x'; do
    printf '{"service":7}' | put_raw "$name"
  done
  printf '{"text":"a"b"}' | put_raw 'h#x'
}

# put_server NUMBER STATE [SERVICE]: registers engine i-NUMBER in the store.
put_server() {
  put_object servers "i-$1" "{\"service\":\"${3:-model}\",
    \"addr\":\"$fleet_net.$((100 + $1)):$engine_port\",\"zone\":\"z$1\",
    \"version\":\"v1\",\"slots\":${engine_slots:-800},
    \"state\":\"$2\",\"born\":$1}"
}

# start_entry_platform NODES ENGINES: starts the store stand-in with one port
# per node, and the engines. Odd entries stand among the servers, unless
# $odd_entries is none.
start_entry_platform() {
  local i
  start store "$bin/standin_object_store" --address "$store_host" \
    --port "$store_port" --doors "$1" \
    --query-decoding "${store_decoding:-form}"
  wait_for "the store" 10 store_calls
  put_object config main "$(entry_config 1)"
  [ "${odd_entries:-some}" = none ] || put_odd_entries
  for ((i = 1; i <= $2; i++)); do
    start "i$i" "$bin/standin_entry_engine" \
      --address "$fleet_net.$((100 + i))" --port "$engine_port" \
      --step-us "${step_us:-1000}"
    put_server "$i" ready
  done
}

# start_entry_node NUMBER: starts node entryNUMBER with the seeds $node_seeds, or
# nodes 1 and 2 if that isn't set; its output goes to $run/entryNUMBER.log, or to
# $entry_output if that is set.
start_entry_node() {
  local address=$fleet_net.$1
  cat >"$run/entry$1.ini" <<SETTINGS
[node]
name = entry$1
failure_domain = z$(((($1 - 1) % 3) + 1))
[listen]
callers = $address:$callers_port
readiness = $address:$ready_port
directory = $address:$directory_port
peers = $address:$node_peer_port
metrics = $address:$metrics_port
[platform]
store = $store_host:$((store_port + $1))
[membership]
first_start = true
seeds = ${node_seeds:-$fleet_net.1:$node_peer_port,$fleet_net.2:$node_peer_port}
stop_grace = 8s
[servers]
drain_time = 2s
[log]
level = ${log_level:-info}
SETTINGS
  if [ -n "${entry_output:-}" ]; then
    "$bin/peridotspard" --entry-settings "$run/entry$1.ini" >"$entry_output" 2>&1 &
    pids[entry$1]=$!
    return
  fi
  start "entry$1" "$bin/peridotspard" --entry-settings "$run/entry$1.ini"
}

entry_ready() { curl -fsS "http://$fleet_net.$1:$ready_port/v1/readyz"; }

# start_entry_fleet NODES ENGINES: starts everything and waits until all nodes
# are ready.
start_entry_fleet() {
  local i
  start_entry_platform "$1" "$2"
  for ((i = 1; i <= $1; i++)); do
    start_entry_node "$i"
  done
  for ((i = 1; i <= $1; i++)); do
    wait_for "entry node $i" 10 entry_ready "$i"
  done
}

# directory_size NODE: prints the number of nodes that a node's directory lists.
directory_size() {
  curl -fsS "http://$fleet_net.$1:$directory_port/v1/resolve?name=h" |
    grep -oF "$fleet_net." | wc -l
}

# send_entry_request NODE PATH [BODY]: prints the response body and the status;
# uses the API key $entry_key.
send_entry_request() {
  local node=$1 path=$2 body=${3:-hello}
  curl -s -m 10 -w ' %{http_code}' "http://$fleet_net.$node:$callers_port$path" \
    -H 'Host: h' -H "Attempt-Id: $(od -An -N8 -tx1 /dev/urandom | tr -d ' ')" \
    -H 'Deadline-Ms: 8000' -H "Authorization: Bearer ${entry_key:-key}" -d "$body"
}

# entry_state NODE WHAT: prints one value of the metric entry_state.
entry_state() {
  curl -fsS "http://$fleet_net.$1:$metrics_port/metrics" |
    grep "entry_state{what=\"$2\"}" | awk '{ print $2 }'
}
