# Functions of the scripts of cases 6 to 10: a cell of the deploy file's nodes on loopback addresses,
# with stand-ins for the platform, its workers and its clients. Sourced by run.sh, which sets CASE to
# its own folder. All processes are ended, and the temporary folder removed, when the script exits.

root=$(cd "$CASE/../.." && pwd)
cd "$root"
TROUBLE=${TROUBLE:-1}
record=$CASE/record.txt
work=$(mktemp -d)
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 2))
store=$net.1:7100
declare -A pids
declare -a started
: >"$record"

now_ms() { date +%s%3N; }
note() { echo "$(now_ms) $*" >>"$record"; }

finish() {
    local pid
    for pid in "${started[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    for pid in "${started[@]}"; do
        while kill -0 "$pid" 2>/dev/null; do sleep 0.01; done
    done
    if [ -f "$work/runs" ]; then
        echo "# what the workers have run" >>"$record"
        cat "$work/runs" >>"$record"
    fi
    [ -n "${KEEP:-}" ] && cp -r "$work" "$KEEP"
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' TERM INT HUP

cannot_run() {
    note "the case could not run: $*"
    exit 2
}

# start NAME PROGRAM ARGUMENT...
start() {
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    disown
    pids[$name]=$!
    started+=($!)
    note "started $name"
}

# Sends a signal to a process by the name under which it was started.
signal() {
    note "signal $1 to $2"
    kill "-$1" "${pids[$2]}"
    if [ "$1" = KILL ]; then
        while kill -0 "${pids[$2]}" 2>/dev/null; do sleep 0.01; done
    fi
}

# http METHOD ADDRESS:PORT PATH [BODY]: prints the status and the body of the answer, on one line.
http() {
    local host=${2%:*} port=${2#*:} body=${4:-}
    {
        exec 3<>"/dev/tcp/$host/$port" || return 1
        printf '%s %s HTTP/1.1\r\nHost: cell.example\r\nContent-Type: application/json\r\nX-Deadline-Ms: 3000\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
            "$1" "$3" "${#body}" "$body" >&3
        timeout 4 cat <&3 | tr -d '\r' | awk 'NR == 1 { status = $2 } text { body = body $0 } /^$/ { text = 1 } END { print status, body }'
        exec 3<&- 3>&-
    } 2>/dev/null
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds. Fails after that time.
wait_for() {
    local end=$(($(now_ms) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(now_ms)" -lt $end ] || return 1
        sleep 0.05
    done
}

is_ready() { [[ $(http GET "$net.$((10 + $1)):8081" /api/ready) == 200* ]]; }

# start_node NUMBER: with the command of the deploy file and settings like those of its template.
start_node() {
    local ip=$net.$((10 + $1))
    cat >"$work/node$1.toml" <<END
name = "node$1"
zone = "zone"
front = "$ip:8080"
ready = "$ip:8081"
rpc = "$ip:8082"
metrics = "$ip:9464"
store = "$store"
permissions = "$store"
processor_share = 0.25
worker_lease_ms = 6000
leaving_notice_ms = 2000
ended_kept_ms = 120000
shutdown_grace_ms = 6000
END
    FLAMINGOSEAM_NODE_FILE=$work/node$1.toml start "node$1" target/flamingoseam-node
}

# start_worker NUMBER KIND [STORE [SERVICE [RACK]]]
start_worker() {
    start "w$1" target/review-2/worker "--id=w$1" "--address=$net.$((100 + $1))" --port=7100 \
        "--store=${3:-$store}" "--record=$work/runs" "--kind=$2" "--service=${4:-service}" "--rack=${5:-r1}"
}

# configure VERSION SERVICE: the operator's newest configuration, whose only queue goes to SERVICE.
configure() {
    local value answer
    value=$(printf '%s' '{"version":'"$1"',"routes":[{"name":"queue","host":"","prefix":"/jobs/","service":"'"$2"'","targetCompletionMs":500,"maxAttempts":3,"stretch":2.0,"priority":0,"advice":{"decisionMs":1.0,"periodMs":0.1,"validityMs":2000}}],"services":[]}' | base64 -w0)
    answer=$(http POST "$store" /api/kv-txn '{"precondition":[],"puts":[{"key":"op/config","value":"'"$value"'"}],"remove":[]}')
    note "the operator sends version $1, queue to $2 -> $answer"
    [[ $answer == 200* ]]
}

# start_platform NODES: the store, the permission service and the nodes.
start_platform() {
    local number
    start platform target/review-2/platform "--address=$net.1" --port=7100
    wait_for 5 eval '[[ $(http GET '"$store"' "/api/kv-key?key=op/config") == 200* ]]' ||
        cannot_run "the platform does not answer"
    for ((number = 1; number <= $1; ++number)); do start_node $number; done
}

# wait_ready NODES: after the workers have been started.
wait_ready() {
    local number
    for ((number = 1; number <= $1; ++number)); do
        wait_for 20 is_ready $number || cannot_run "node $number is not ready"
    done
}

# client METHOD NODE JOB [BODY]: prints and records the answer that a client gets.
client() {
    local answer
    answer=$(http "$1" "$net.$((10 + $2)):8080" "/jobs/$3" "${4:-}")
    note "$1 /jobs/$3 at node$2 ${4:-} -> ${answer:-no answer}"
    echo "$answer"
}

# worker_with EVENT TASK: prints the worker on which a run of the task had this event last.
worker_with() {
    grep "\"event\":\"$1\"" "$work/runs" | grep "\"task\":\"$2\"" | tail -1 |
        sed 's/.*"worker":"\([^"]*\)".*/\1/'
}
