#!/usr/bin/env bash
# Jobs wait for workers of one service. The operator sends their queue to another service, whose
# workers are idle, and then takes the workers of the first one away, one after the other. The jobs
# that were accepted before must run.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standins-2/cell.sh"
config_apply_s=2
finish_s=14

start_platform 3
for number in 1 2; do start_worker $number a; done
for number in 3 4 5 6 7 8 9 10 11 12 13 14; do start_worker $number a "" other; done
wait_ready 3
sleep 1

# submit JOB: one task that needs a whole worker for 2 s.
submit() {
    client POST 1 "$1" '{"spec":"ms=2000","steps":[{"count":1,"cpu":16000,"memMb":100,"estimatedMs":2000}]}'
}
is_completed() { [[ $(client GET 2 "$1") == *completed* ]]; }

jobs=(00000000000000c1 00000000000000c2 00000000000000c3 00000000000000c4 00000000000000c5
    00000000000000c6 00000000000000c7 00000000000000c8)
for job in "${jobs[@]}"; do
    [[ $(submit $job) == 200* ]] || cannot_run "$job was not accepted"
done
if [ "$TROUBLE" != 0 ]; then
    configure 2 other || cannot_run "the configuration was not stored"
    sleep $config_apply_s
    [[ $(submit 00000000000000d1) == 200* ]] || cannot_run "the job after the change was not accepted"
    signal TERM w1
    sleep 1
    signal TERM w2
    wait_for 6 is_completed 00000000000000d1 || cannot_run "the job after the change has not run"
fi
sleep $finish_s

# Over 4 s: which jobs are not completed, and have no run on any worker.
running() { # TASK: whether the last event of the task is the begin of a run.
    [[ $(grep "\"task\":\"$1\"" "$work/runs" | grep -v acknowledged | tail -1) == *'"begin"'* ]]
}
waiting=("${jobs[@]}")
for look in 1 2 3 4 5; do
    left=()
    for job in "${waiting[@]}"; do
        is_completed $job || running $job.0.0.0 || left+=("$job")
    done
    waiting=("${left[@]}")
    sleep 1
done
busy=$(grep '"event":"begin"' "$work/runs" | grep -c -vE '"worker":"w[12]"')
note "not completed, and for 4 s nothing running: ${waiting[*]:-none}; starts on the other service: $busy"
if [ ${#waiting[@]} -gt 0 ]; then
    note "LOST: a job has nothing running while there is capacity for it"
    exit 1
fi
note "held"
exit 0
