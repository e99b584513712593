/** Time limits that owner and relay share. */

/** Time within which a worker answers an order, besides the wait of a renewal; the platform's client uses the same. */
export const ORDER_TIMEOUT_MILLISECONDS = 500;

/** Additional time for the way over a relay. */
export const HOP_TIMEOUT_MILLISECONDS = 250;

/** Time for which the first orders or outcomes after a pause are collected into one batch. */
export const BATCH_MILLISECONDS = 3;

/** Time between two batches while they follow each other; each batch costs a write and a response. */
export const LOADED_BATCH_MILLISECONDS = 8;
