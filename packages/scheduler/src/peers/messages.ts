/** What processes ask one another. */
import { z } from 'zod';

/** A question on a job. */
const statusQuestion = z.object({
  kind: z.literal('job-status'),
  service: z.string(),
  queue: z.string(),
  jobId: z.string(),
});

/** A question on a queue. */
const pendingQuestion = z.object({
  kind: z.literal('pending-count'),
  service: z.string(),
  queue: z.string(),
});

const question = z.discriminatedUnion('kind', [statusQuestion, pendingQuestion]);

/** A question to the owner of a service. */
export type PeerQuestion = z.infer<typeof question>;

/** A question's answer. */
export type PeerAnswer =
  | {
      readonly kind: 'job-status';
      readonly status: 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';
    }
  | { readonly kind: 'unknown-job' }
  | { readonly kind: 'pending-count'; readonly pending: number }
  /** The process asked does not own the service, or does not know yet. */
  | { readonly kind: 'not-owner' };

const answer = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('job-status'),
    status: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']),
  }),
  z.object({ kind: z.literal('unknown-job') }),
  z.object({ kind: z.literal('pending-count'), pending: z.number() }),
  z.object({ kind: z.literal('not-owner') }),
]);

/** The question in a message, or null for something else. */
export function readQuestion(content: unknown): PeerQuestion | null {
  const parsed = question.safeParse(content);
  return parsed.success ? parsed.data : null;
}

/** The answer in a message, or null for something else. */
export function readAnswer(content: unknown): PeerAnswer | null {
  const parsed = answer.safeParse(content);
  return parsed.success ? parsed.data : null;
}
