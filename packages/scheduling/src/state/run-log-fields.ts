/** Log fields that identify runs. */
import { taskIdOf, type TaskKey } from '../model/job.js';
import type { SchedulingFields } from './effect.js';
import type { Run } from './service-state.js';

/** Returns the fields that identify a run in the log. */
export function runLogFields(key: TaskKey, run: Run): SchedulingFields {
  return { jobId: key.jobId, task: taskIdOf(key), run: run.run, workerId: run.workerId };
}
