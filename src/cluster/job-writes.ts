/**
 * Which transactions may name a job. Two invariants keep the cluster state in agreement with the store:
 *
 * - While a transaction that places or completes a job has no answer, no other one places or completes it. A completion removes the
 *   job's record, and a plan whose answer comes later would add tasks to a job that no longer exists.
 * - A condition on a revision that the store refused never holds again. A job whose record was refused is left out of all
 *   transactions until the record is read again, so that it holds up no other job.
 */
import type { Job } from './entities.js';

/** Whether the job's record in the store is known to differ from the one in the cluster state. */
const isRecordOutdated = (job: Job): boolean => job.refusedRevision === job.modRevision;

/** Whether a transaction that depends on the job's record may be sent now. */
export const mayWriteJob = (job: Job): boolean => job.unansweredWrite === undefined && !isRecordOutdated(job);

/** Whether a plan may place tasks of the job now. */
export const maySchedule = (job: Job): boolean => job.cancelledAt === undefined && mayWriteJob(job);
