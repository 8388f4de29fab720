/** Orders to an engine, checked against the highest fencing token seen. */
import {z} from 'zod';

/** Schema of the body of `POST /orders`. */
export const orderSchema = z.strictObject({
  order: z.enum(['load', 'unload', 'role']),
  service: z.string(),
  version: z.string(),
  role: z.string().optional(),
  fencingToken: z.number().int(),
});

/** An order to load or unload a version, or to change the engine's role. */
export type EngineOrder = z.infer<typeof orderSchema>;

/** An order in the ledger; `isTaken` shows whether it was accepted. */
export interface OrderEntry extends EngineOrder {
  readonly atMs: number;
  readonly isTaken: boolean;
}

/** Records orders, and rejects those with an outdated fencing token if the engine honours fencing tokens. */
export class OrderLedger {
  private readonly honoursFencingTokens: boolean;
  private readonly entries: OrderEntry[] = [];
  private highestToken = -1;

  constructor(honoursFencingTokens: boolean) {
    this.honoursFencingTokens = honoursFencingTokens;
  }

  /** Records an order; returns whether it is accepted. */
  acceptOrder(order: EngineOrder, nowMs: number): boolean {
    const isTaken = !this.honoursFencingTokens || order.fencingToken >= this.highestToken;
    this.highestToken = Math.max(this.highestToken, order.fencingToken);
    this.entries.push({...order, atMs: nowMs, isTaken});
    return isTaken;
  }

  /** Returns the highest fencing token seen, also in rejected orders; -1 before the first order. */
  getHighestToken(): number {
    return this.highestToken;
  }

  /** Returns all orders, accepted and rejected, in order of arrival. */
  getEntries(): readonly OrderEntry[] {
    return this.entries;
  }
}
