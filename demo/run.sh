#!/bin/sh
# Starts a small fleet as separate processes, sends requests through it while a worker
# fails and a daemon stops, and checks the fleet's guarantees. Exits with a non-zero
# status if one was violated.
set -eu

dir=$(mktemp -d)
pids=""
log_port=18100
log_url="http://127.0.0.1:$log_port"

cleanup() {
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
    [ -n "${KEEP_DEMO:-}" ] || rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

start() { # NAME COMMAND...
    name=$1
    shift
    "$@" >"$dir/$name.out" 2>&1 &
    pids="$pids $!"
}

daemon() { # NUMBER DATA_CENTRE
    base=$((18200 + $1 * 10))
    cat >"$dir/vm-$1.ini" <<EOF
[daemon]
vm = vm-$1
data_centre = $2
ingress_port = $base
peer_port = $((base + 1))
gossip_port = $((base + 2))
admin_port = $((base + 3))
seeds = 127.0.0.1:18201, 127.0.0.1:18211
shared_key = key-of-the-demo-fleet
log_url = $log_url
EOF
    start "vm-$1" dandelion-daemon "$dir/vm-$1.ini"
}

worker() { # SERVICE NUMBER VM
    start "$1-$2" dandelion-standin worker --endpoint "$1-$2" --service "$1" \
        --daemon "127.0.0.1:$((18203 + $3 * 10))" --port "$((18300 + $2))" \
        --work-ms 15
}

key_digest=$(printf key-of-shop | sha256sum | cut -d' ' -f1)
cat >"$dir/plans.ini" <<EOF
[customer shop]
key_digest = $key_digest
plan = gold
EOF
cat >"$dir/allowances.ini" <<EOF
[service calendar]
floor = 50%

[service orders]
floor = 50%

[route today]
service = calendar
path = /calendar
kind = today
budget_ms = 2000

[route order]
service = orders
path = /orders
methods = POST
kind = order
idempotent = false
budget_ms = 3000

[crest evening]
service = calendar
starts = 18:00
lasts_s = 3600

[plan gold]
priority = 0

[allow gold calendar]
rate = 500
burst = 500
crest_rate = 2000

[allow gold orders]
rate = 500
burst = 500
EOF

echo "== starting a log, four daemons in two data centres and eight workers"
start log dandelion-standin log --port "$log_port" --control-port 18101
daemon 0 kolkata
daemon 1 howrah
daemon 2 kolkata
daemon 3 howrah
for number in 0 1 2 3; do
    worker calendar "$number" "$number"
    worker orders "$((10 + number))" "$number"
done
stopping_pid=$(echo "$pids" | awk '{print $5}')

echo "== publishing the two lists"
tries=0
until dandelionctl publish "$dir/plans.ini" "$dir/allowances.ini" --log "$log_url"; do
    tries=$((tries + 1))
    [ "$tries" -lt 20 ] || exit 1
    sleep 0.5
done

status=0
python -m dandelionarch.measure.demo --stop-pid "$stopping_pid" \
    --request-file "$dir/request" || status=$?

if [ -s "$dir/request" ]; then
    echo "== how one request was routed, and why"
    dandelionctl explain --daemon 127.0.0.1:18203 "$(cat "$dir/request")"
fi
echo "== the fleet as one daemon reports it"
dandelionctl status --daemon 127.0.0.1:18203 || status=1
[ "$status" -eq 0 ] && echo "== all guarantees were met"
exit "$status"
