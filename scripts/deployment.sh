# Functions that run a whole deployment as separate processes on loopback addresses. To be sourced.
#
#   deployment_start NAME FOLDER   platform, backend servers and daemons of examples/NAME; state in FOLDER
#   deployment_stop                ends all processes that were started

deployment_pids=()

deployment_start() {
    local name=$1 folder=$2 base_port=${3:-20000}
    platform_address=127.0.0.1:$((base_port - 1))
    mkdir -p "$folder"
    build/bin/deployment_settings "examples/$name/inventory.json" "$folder" --platform "$platform_address" \
        --base-port "$base_port"
    build/bin/platform_standin --listen "$platform_address" >"$folder/platform.log" 2>&1 &
    deployment_pids+=($!)
    echo "$!" >"$folder/platform.pid"
    local server service domain callers local_listener peers backend slots connections
    while read -r server service domain callers local_listener peers backend slots connections; do
        build/bin/backend_standin --config "examples/$name/backends/$service.json" --name "$server" \
            --service "$service" --listen "$backend" --local-listener "$local_listener" --slots "$slots" \
            --connections "$connections" >"$folder/$server.backend.log" 2>&1 &
        deployment_pids+=($!)
        echo "$!" >"$folder/$server.backend.pid"
        build/bin/hibiscusd "$folder/$server.json" >"$folder/$server.log" 2>&1 &
        deployment_pids+=($!)
        echo "$!" >"$folder/$server.pid"
    done <"$folder/hosts.txt"
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
