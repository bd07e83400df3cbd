# Functions that run a deployment as separate processes on loopback addresses. To be sourced by other scripts.
#
#   deployment_plan NAME FOLDER [BASE_PORT]   writes daemon settings and hosts.txt of the deployment into FOLDER
#   deployment_start NAME FOLDER [BASE_PORT]  starts platform, backend servers and daemons; logs and PID files in FOLDER
#   deployment_stop                           ends all processes that were started
#
# deployment_examples   folder with the deployments (default: examples)
# deployment_layer      "no" starts only the backend servers, without platform and daemons
#
# A file FOLDER/SERVER.backend.json replaces the settings of that backend server.

deployment_pids=()
deployment_examples=examples
deployment_layer=yes

deployment_plan() {
    local name=$1 folder=$2 base_port=${3:-20000}
    platform_address=127.0.0.1:$((base_port - 1))
    mkdir -p "$folder"
    build/bin/deployment_settings "$deployment_examples/$name/inventory.json" "$folder" \
        --platform "$platform_address" --base-port "$base_port"
}

# deployment_run PIDFILE LOGFILE COMMAND...: starts a process of the deployment in the background.
deployment_run() {
    local pid_file=$1 log_file=$2
    shift 2
    "$@" >>"$log_file" 2>&1 &
    deployment_pids+=($!)
    echo "$!" >"$pid_file"
}

deployment_start() {
    local name=$1 folder=$2
    deployment_plan "$@"
    if [ "$deployment_layer" = yes ]; then
        deployment_run "$folder/platform.pid" "$folder/platform.log" \
            build/bin/platform_standin --listen "$platform_address"
    fi
    local server
    for server in $(cut -d ' ' -f 1 "$folder/hosts.txt"); do
        deployment_backend "$name" "$folder" "$server"
        if [ "$deployment_layer" = yes ]; then
            deployment_daemon "$folder" "$server"
        fi
    done
}

# deployment_backend NAME FOLDER SERVER: starts the backend server of one host.
deployment_backend() {
    local name=$1 folder=$2 wanted=$3
    local server service domain callers local_listener peers backend slots connections config
    while read -r server service domain callers local_listener peers backend slots connections; do
        [ "$server" = "$wanted" ] || continue
        config=$folder/$server.backend.json
        [ -e "$config" ] || config=$deployment_examples/$name/backends/$service.json
        deployment_run "$folder/$server.backend.pid" "$folder/$server.backend.log" \
            build/bin/backend_standin --config "$config" --name "$server" --service "$service" --listen "$backend" \
            --local-listener "$local_listener" --slots "$slots" --connections "$connections"
    done <"$folder/hosts.txt"
}

# deployment_daemon FOLDER SERVER: starts the daemon of one host.
deployment_daemon() {
    deployment_run "$1/$2.pid" "$1/$2.log" build/bin/hibiscusd "$1/$2.json"
}

# Prints the addresses at which all daemons accept callers, one per line.
deployment_callers() {
    cut -d ' ' -f 4 "$1/hosts.txt"
}

# Prints the addresses of all backend servers, one per line.
deployment_backends() {
    cut -d ' ' -f 7 "$1/hosts.txt"
}

# deployment_address SERVER COLUMN FOLDER: prints one column of the line of SERVER in hosts.txt.
deployment_address() {
    awk -v server="$1" -v column="$2" '$1 == server { print $column }' "$3/hosts.txt"
}

# deployment_faults ADDRESS JSON: sets the faults of a stand-in.
deployment_faults() {
    curl -s -m 5 -X POST "http://$1/faults" -d "$2" >/dev/null
}

deployment_stop() {
    local pid
    for pid in "${deployment_pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    deployment_pids=()
}
