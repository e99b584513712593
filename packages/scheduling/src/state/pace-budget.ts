/** Bounds the number of pace orders of a service. */
import type { Instant } from '../model/instant.js';

/** Orders a second, which is also the most at once. */
const ORDERS_PER_SECOND = 100;

/** Orders that are kept for slowing down. */
const RESERVED_FOR_SLOWING = 50;

const MILLISECONDS_PER_SECOND = 1_000;

/** Orders that may be sent, as of a time. */
export interface PaceBudget {
  readonly orders: number;
  readonly at: Instant;
}

/** Returns the budget of a service that has sent none. */
export function fullPaceBudget(now: Instant): PaceBudget {
  return { orders: ORDERS_PER_SECOND, at: now };
}

/** Returns the budget after one order; null if the order has to wait. */
export function spendPaceOrder(budget: PaceBudget, slowsDown: boolean, now: Instant): PaceBudget | null {
  const refill = (Math.max(0, now - budget.at) * ORDERS_PER_SECOND) / MILLISECONDS_PER_SECOND;
  const orders = Math.min(ORDERS_PER_SECOND, budget.orders + refill);
  const kept = slowsDown ? 0 : RESERVED_FOR_SLOWING;
  return orders - kept >= 1 ? { orders: orders - 1, at: now } : null;
}
