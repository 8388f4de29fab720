/** Backend servers that crash if they have to refuse many requests for lack of room. */
import {getServerStartKey, type ServerEntry, type ServerStart} from '../../catalog/index.js';

/** What a server says of itself, and how it has treated this gateway. */
interface BrittleServer {
  /** Refusals per second, of all gateways, above which it crashes. */
  readonly refusalsPerSecond: number;
  readonly statedAtMs: number;
  /** When it last refused a request of this gateway for lack of room. */
  readonly refusedAtMs: number;
}

/** What a gateway knows of the load of a brittle server. */
export interface BrittleServerLoad {
  /** Requests of all gateways that are open there, as far as this gateway knows. */
  readonly openRequests: number;
  /** Those of this gateway. */
  readonly ownRequests: number;
  /** Slots that are this gateway's part of all slots of the server. */
  readonly ownSlots: number;
}

/** Time after its last statement from which a server isn't taken for brittle any more; it says so in every response. */
const STATEMENT_VALIDITY_MS = 5_000;
/**
 * Time after a refusal in which this gateway sends the server nothing. Longer pauses of all gateways would empty the
 * server, to which all of them would then come back at once.
 */
const REFUSAL_PAUSE_MS = 1_000;
/** Time after which reports of the other gateways may show free slots. */
const FULL_PAUSE_MS = 250;
/** Share of the slots that any gateway may use, whoever they belong to; reports of the load lag behind. */
const COMMON_SHARE = 1 / 3;

/**
 * Follows the brittle servers, and decides when a gateway holds its requests back from them. Each gateway has slots of its
 * own at a server that is more than a third full, so that gateways that see the same free slot don't all send to it.
 */
export class BrittleServers {
  private readonly byStart = new Map<bigint, BrittleServer>();

  /**
   * Records what a response says.
   * @param refusalsPerSecond - Undefined if the response doesn't say that its server is brittle.
   * @param isRefusal - Whether the server refuses the request for lack of room.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  applyResponse(
    server: ServerStart,
    refusalsPerSecond: number | undefined,
    isRefusal: boolean,
    nowMs: number,
  ): void {
    if (refusalsPerSecond === undefined && this.byStart.size === 0) return;
    const key = getServerStartKey(server);
    this.forgetOld(nowMs);
    if (refusalsPerSecond === undefined) {
      this.byStart.delete(key);
      return;
    }
    const refusedAtMs = isRefusal ? nowMs : (this.byStart.get(key)?.refusedAtMs ?? -Infinity);
    this.byStart.set(key, {refusalsPerSecond, statedAtMs: nowMs, refusedAtMs});
  }

  /** Returns the refusals per second that a brittle server bears; undefined for any other server. */
  getRefusalsPerSecond(server: ServerStart, nowMs: number): number | undefined {
    return this.find(server, nowMs)?.refusalsPerSecond;
  }

  /** Returns the time in milliseconds for which nothing is to be sent to a server; 0 for one that isn't brittle. */
  getPauseMs(server: ServerEntry, load: BrittleServerLoad, nowMs: number): number {
    const brittle = this.find(server, nowMs);
    if (!brittle) return 0;
    const {openRequests, ownRequests, ownSlots} = load;
    const pauseMs = brittle.refusedAtMs + REFUSAL_PAUSE_MS - nowMs;
    if (pauseMs > 0) return pauseMs;
    const hasOwnSlot = ownRequests < ownSlots && openRequests < server.slots;
    const isMostlyFree = openRequests < server.slots * COMMON_SHARE;
    return hasOwnSlot || isMostlyFree ? 0 : FULL_PAUSE_MS;
  }

  private find(server: ServerStart, nowMs: number): BrittleServer | undefined {
    if (this.byStart.size === 0) return undefined;
    const brittle = this.byStart.get(getServerStartKey(server));
    return brittle && nowMs - brittle.statedAtMs <= STATEMENT_VALIDITY_MS ? brittle : undefined;
  }

  private forgetOld(nowMs: number): void {
    for (const [key, {statedAtMs}] of this.byStart) {
      if (nowMs - statedAtMs > STATEMENT_VALIDITY_MS) this.byStart.delete(key);
    }
  }
}
