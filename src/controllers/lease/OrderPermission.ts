/** Decides right before each order whether the holder of the lease may send it. */

/** What the decision about an order reads. Instants are of the holder's monotonic clock. */
export interface OrderView {
  /** End of the holder's right to act; undefined for a daemon that isn't the holder. */
  readonly heldUntilMs: number | undefined;
  /** Instant at which the holder read its own claim back. */
  readonly claimReadAtMs: number;
  /** Longest time between sending an order and its effect. */
  readonly longestOrderMs: number;
  /** Whether the receiver refuses an order with an old fencing token. */
  readonly honoursFencingTokens: boolean;
}

/** Whether an order may be sent, or why not. */
export type OrderPermission = 'allowed' | 'not-the-holder' | 'older-orders-in-flight';

/**
 * Decides whether an order may be sent now.
 * @param view - Lease and receiver.
 * @param nowMs - Present time on the holder's monotonic clock.
 */
export function decideOrder(view: OrderView, nowMs: number): OrderPermission {
  const {heldUntilMs, claimReadAtMs, longestOrderMs, honoursFencingTokens} = view;
  if (heldUntilMs === undefined || nowMs >= heldUntilMs) return 'not-the-holder';
  if (honoursFencingTokens) return 'allowed';
  return nowMs < claimReadAtMs + longestOrderMs ? 'older-orders-in-flight' : 'allowed';
}
