#pragma once

namespace flamingoseam::workflow {

/// Why an owner stops a run.
enum class stop_reason {
    task_done,     ///< Another run of the task has ended as done.
    job_ended,     ///< The job has failed or was cancelled.
    gang_broken,   ///< Another member of the gang has ended otherwise than as done.
    stalled,       ///< It makes no progress.
    preempted,     ///< It makes place for a gang of a more urgent queue.
    not_wanted,    ///< This owner did not start it, and its task is not to run there.
    superseded,    ///< A newer run of the task is known.
    unconfirmed,   ///< Its start was not answered, and the task may have been started again.
    start_refused, ///< An earlier copy of the refused order may have started it.
};

/// Returns the reason in words, for log lines. Complexity: constant.
const char* to_string(stop_reason reason);

} // namespace flamingoseam::workflow
