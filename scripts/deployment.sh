# Functions that run a whole deployment as separate processes on loopback addresses. To be sourced.
#
#   deployment_start NAME FOLDER   platform, backend servers and daemons of examples/NAME; state in FOLDER
#   deployment_stop                ends all processes that were started

deployment_pids=()

deployment_start() {
    local name=$1 folder=$2 base_port=${3:-20000}
    platform_address=127.0.0.1:$((base_port - 1))
    mkdir -p "$folder"
    build/bin/deployment_settings "${deployment_examples:-examples}/$name/inventory.json" "$folder" --platform "$platform_address" \
        --base-port "$base_port"
    build/bin/platform_standin --listen "$platform_address" >"$folder/platform.log" 2>&1 &
    deployment_pids+=($!)
    echo "$!" >"$folder/platform.pid"
    local server
    for server in $(cut -d ' ' -f 1 "$folder/hosts.txt"); do
        deployment_backend "$name" "$folder" "$server"
        deployment_daemon "$folder" "$server"
    done
}

# deployment_backend NAME FOLDER SERVER: starts the backend server of one host.
deployment_backend() {
    local name=$1 folder=$2 wanted=$3
    local server service domain callers local_listener peers backend slots connections
    while read -r server service domain callers local_listener peers backend slots connections; do
        [ "$server" = "$wanted" ] || continue
        build/bin/backend_standin --config "${deployment_examples:-examples}/$name/backends/$service.json" \
            --name "$server" --service "$service" --listen "$backend" --local-listener "$local_listener" \
            --slots "$slots" --connections "$connections" >>"$folder/$server.backend.log" 2>&1 &
        deployment_pids+=($!)
        echo "$!" >"$folder/$server.backend.pid"
    done <"$folder/hosts.txt"
}

# deployment_daemon FOLDER SERVER: starts the daemon of one host.
deployment_daemon() {
    build/bin/hibiscusd "$1/$2.json" >>"$1/$2.log" 2>&1 &
    deployment_pids+=($!)
    echo "$!" >"$1/$2.pid"
}

# Callers listeners of all daemons, one a line.
deployment_callers() {
    cut -d ' ' -f 4 "$1/hosts.txt"
}

# Addresses of all backend servers, one a line.
deployment_backends() {
    cut -d ' ' -f 7 "$1/hosts.txt"
}

deployment_stop() {
    local pid
    for pid in "${deployment_pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    deployment_pids=()
}
