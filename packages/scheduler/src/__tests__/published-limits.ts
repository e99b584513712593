/** The limits on appends that the platform publishes. */
import type { AppendLimits } from '../ports/index.js';

export const PUBLISHED_LIMITS: AppendLimits = { recordBytes: 262_144, requestBytes: 2_097_152 };
