/** Orders to an engine and their fencing tokens. */
import {z} from 'zod';

/** Schema of an order. */
export const orderSchema = z.strictObject({
  order: z.enum(['load', 'unload', 'role']),
  service: z.string(),
  version: z.string(),
  role: z.string().optional(),
  fencingToken: z.number().int(),
});

/** An order to an engine. */
export type EngineOrder = z.infer<typeof orderSchema>;

/** An order as the ledger shows it. */
export interface OrderEntry extends EngineOrder {
  readonly atMs: number;
  readonly isTaken: boolean;
}

/** Takes orders, or refuses those with an old fencing token where the engine honours them. */
export class OrderDesk {
  private readonly honoursFencingTokens: boolean;
  private readonly entries: OrderEntry[] = [];
  private highestToken = -1;

  constructor(honoursFencingTokens: boolean) {
    this.honoursFencingTokens = honoursFencingTokens;
  }

  /** Returns whether an order is taken, and records it. */
  takeOrder(order: EngineOrder, nowMs: number): boolean {
    const isTaken = !this.honoursFencingTokens || order.fencingToken >= this.highestToken;
    this.highestToken = Math.max(this.highestToken, order.fencingToken);
    this.entries.push({...order, atMs: nowMs, isTaken});
    return isTaken;
  }

  /** Returns the highest fencing token seen. */
  getHighestToken(): number {
    return this.highestToken;
  }

  /** Returns all orders. */
  getEntries(): readonly OrderEntry[] {
    return this.entries;
  }
}
