"""Convert the progress of a job to a record for the store and back."""

__all__ = ["progress_record", "restore_progress"]


def progress_record(job):
    """Return the progress that the next owner needs in addition to the document.

    Parameters
    ----------
    job : JobState

    Returns
    -------
    dict
        JSON values. Fields of tasks that have their initial value are omitted.
    """
    record = {"status": job.status}
    if job.is_final:
        return record
    if job.finished_occurrences:
        record["over"] = sorted(job.finished_occurrences)
    if job.early_occurrences:
        record["early"] = sorted(job.early_occurrences)
    record["occurrences"] = {
        str(number): [_step_record(step) for step in steps]
        for number, steps in job.occurrences.items()
    }
    return record


def restore_progress(job, record):
    """Set the progress of a job from a record.

    Parameters
    ----------
    job : JobState
        New state, without progress of its own.
    record : dict
        As returned by ``progress_record``.
    """
    job.status = job.durable_status = record["status"]
    if job.is_final:
        return
    job.finished_occurrences = set(record.get("over", ()))
    job.early_occurrences = set(record.get("early", ()))
    for number, steps in record.get("occurrences", {}).items():
        states = job.open_occurrence(int(number))
        for state, found in zip(states, steps, strict=True):
            _restore_step(state, found)


def _step_record(step):
    done = 0
    record = {}
    for index, task in enumerate(step.tasks):
        if task.is_done:
            done |= 1 << index
            continue
        if task.attempt:
            record.setdefault("attempts", {})[index] = task.attempt
        if task.place:
            record.setdefault("places", {})[index] = task.place
        if task.failed_attempts:
            record.setdefault("failed", {})[index] = sorted(task.failed_attempts)
        if task.failed_on:
            record.setdefault("failed_on", {})[index] = sorted(task.failed_on)
        if task.replaced:
            record.setdefault("replaced", {})[index] = task.replaced
        if task.checkpoint:
            record.setdefault("checkpoints", {})[index] = task.checkpoint
    if done:
        record["done"] = f"{done:x}"
    return record


def _restore_step(step, record):
    done = int(record.get("done", "0"), 16)
    for index, task in enumerate(step.tasks):
        if done >> index & 1:
            task.is_done = True
            step.unfinished_tasks -= 1
    for index, attempt in record.get("attempts", {}).items():
        step.tasks[int(index)].attempt = attempt
    for index, place in record.get("places", {}).items():
        step.tasks[int(index)].place = place
    counted = {} if step.step.is_lasting else record.get("failed", {})
    for index, attempts in counted.items():
        step.tasks[int(index)].failed_attempts = set(attempts)
    for index, workers in record.get("failed_on", {}).items():
        step.tasks[int(index)].failed_on = set(workers)
    for index, times in record.get("replaced", {}).items():
        step.tasks[int(index)].replaced = times
    for index, checkpoint in record.get("checkpoints", {}).items():
        step.tasks[int(index)].checkpoint = checkpoint
