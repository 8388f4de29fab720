/**
 * Decides whether the lease holder may send an order, such as a command to the platform or the weight store or a record
 * for the log. The check runs right before each order, since the lease may have expired after the order was decided on.
 */

/** Input of `decideOrderPermission`. All times are by the holder's monotonic clock. */
export interface OrderView {
  /** Time until which the daemon may act as the lease holder; undefined if it isn't the holder. */
  readonly heldUntilMs: number | undefined;
  /** Time at which the holder read its own claim back from the log. */
  readonly claimReadAtMs: number;
  /** Longest time between sending an order and its effect. */
  readonly maxOrderDelayMs: number;
  /** Whether the receiver rejects an order whose fencing token is older than one that it has seen. */
  readonly honoursFencingTokens: boolean;
}

/** Whether an order may be sent, or the reason why not. */
export type OrderPermission = 'allowed' | 'not-the-holder' | 'older-orders-in-flight';

/**
 * Decides whether an order may be sent now. A receiver that ignores fencing tokens gets no order until all orders of
 * the previous holder must have taken effect.
 * @param view - State of the lease and properties of the receiver.
 * @param nowMs - Time by the holder's monotonic clock, in milliseconds.
 */
export function decideOrderPermission(view: OrderView, nowMs: number): OrderPermission {
  const {heldUntilMs, claimReadAtMs, maxOrderDelayMs, honoursFencingTokens} = view;
  if (heldUntilMs === undefined || nowMs >= heldUntilMs) return 'not-the-holder';
  if (honoursFencingTokens) return 'allowed';
  return nowMs < claimReadAtMs + maxOrderDelayMs ? 'older-orders-in-flight' : 'allowed';
}
