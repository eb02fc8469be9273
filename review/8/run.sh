#!/usr/bin/env bash
# The workers of one rack are lost for good. Then a job comes whose data was in that rack. It may run
# anywhere, remoteFactor times as long. It must not wait while the other workers are idle.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standins-2/cell.sh"
finish_s=14

start_platform 3
for number in 1 2; do start_worker $number a "" service r2; done
for number in 3 4 5 6 7 8 9 10 11 12 13 14; do start_worker $number a; done
wait_ready 3
sleep 1

# submit JOB: one task whose data is in rack r2.
submit() {
    client POST 1 "$1" '{"spec":"ms=15000","steps":[{"count":1,"cpu":1000,"memMb":100,"estimatedMs":15000,"affinity":"r2"}]}'
}
if [ "$TROUBLE" != 0 ]; then
    signal KILL w1
    signal KILL w2
    sleep 8 # Their entries leave the store after three heartbeats, and their leases end.
fi
job=00000000000000f1
[[ $(submit $job) == 200* ]] || cannot_run "$job was not accepted"
sleep $finish_s

# Over 4 s: whether the job is completed or has a run on a worker.
has_run() { grep '"event":"begin"' "$work/runs" | grep -q "\"task\":\"$job"; }
waits=1
for look in 1 2 3 4 5; do
    state=$(client GET 2 $job)
    if has_run || [[ $state == *completed* ]]; then
        waits=0
    fi
    sleep 1
done
if [ $waits -gt 0 ]; then
    note "LOST: for 4 s, $finish_s s after the end of the traffic, the job has nothing running; no run on any of 12 idle workers"
    exit 1
fi
note "held: the job has run"
exit 0
