#!/usr/bin/env bash
# The worker on which a job's only task runs crashes, three times in a row, and is back after half a
# second each time. No run ends `failed`. The job must not be shown as failed.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standins-2/cell.sh"

job=00000000000000a6
task=$job.0.0.0

start_platform 3
for number in 1 2 3 4 5 6 7 8; do start_worker $number a; done
wait_ready 3
sleep 1

[[ $(client POST 1 $job '{"spec":"ms=4000","steps":[{"count":1,"cpu":1000,"memMb":100,"estimatedMs":4000}]}') == 200* ]] ||
    cannot_run "the job was not accepted"

begins() { grep -c "\"event\":\"begin\".*\"task\":\"$task\"" "$work/runs"; }
has_begun() { [ "$(begins)" -ge "$1" ]; }
if [ "$TROUBLE" != 0 ]; then
    for crash in 1 2 3; do
        wait_for 20 has_begun $crash || break
        sleep 1.5
        worker=$(worker_with begin $task)
        signal KILL $worker
        sleep 0.5
        start_worker ${worker#w} a
    done
fi

state=
is_final() {
    state=$(client GET 2 $job)
    sleep 0.2
    [[ $state == *completed* || $state == *failed* || $state == *cancelled* ]]
}
wait_for 40 is_final
failed_ends=$(grep "\"event\":\"end\"" "$work/runs" | grep "\"task\":\"$task\"" | grep -c '"how":"failed"')
note "the job is shown as $state; runs of its task that ended failed: $failed_ends"
if [[ $state == *failed* && $failed_ends == 0 ]]; then
    note "LOST: shown as failed, and no run ended failed"
    exit 1
fi
[[ $state == *completed* ]] || cannot_run "the job is in no final state"
note "held: the job is completed"
exit 0
