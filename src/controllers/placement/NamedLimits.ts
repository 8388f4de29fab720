/**
 * The limits of requests per second that backend servers name in their responses, as all gateways know them together.
 * Merging the same limit again, late or in another order changes nothing: all times are those of the responses.
 */

/** What the responses of one start of a server have said of its limit. */
export interface NamedLimit {
  /** Key of the server's start. */
  readonly serverKey: bigint;
  /** Requests per second that the server takes from all gateways together. */
  readonly perSecond: number;
  /** Unix time in milliseconds of the latest response that named the limit. */
  readonly namedAtMs: number;
  /** Unix time in milliseconds of the latest response that named none; 0 if there was none since the first limit. */
  readonly endedAtMs: number;
}

/** Lowest limit that is applied, so that a request now and then finds out whether it has ended. */
const MIN_PER_SECOND = 0.1;
/**
 * A response without the limit ends it only if it is later by this time: responses overtake each other, and the clocks
 * of the gateways that received them differ.
 */
const MIN_END_DELAY_MS = 500;
/** Time after the last response for which a limit holds; without requests a server can't end it. */
const SILENCE_MS = 60_000;
/** Limits with a later time than this after the present one come from a wrong clock. */
const MAX_CLOCK_ERROR_MS = 10_000;

/** Merges the limits that gateways have received. */
export class NamedLimits {
  private readonly limits = new Map<bigint, NamedLimit>();

  /** Whether no limit is known. */
  get isEmpty(): boolean {
    return this.limits.size === 0;
  }

  /**
   * Records a response of a server.
   * @param perSecond - The limit that it names; undefined for none.
   * @param wallMs - Present Unix time in milliseconds.
   * @returns Whether the limit in force has changed.
   */
  applyResponse(serverKey: bigint, perSecond: number | undefined, wallMs: number): boolean {
    if (perSecond !== undefined) {
      return this.merge({serverKey, perSecond, namedAtMs: wallMs, endedAtMs: 0}, wallMs);
    }
    const known = this.limits.get(serverKey);
    return known !== undefined && this.merge({...known, endedAtMs: wallMs}, wallMs);
  }

  /**
   * Merges what another gateway knows.
   * @param wallMs - Present Unix time in milliseconds.
   * @returns Whether the limit in force has changed.
   */
  merge(limit: NamedLimit, wallMs: number): boolean {
    if (!isPlausible(limit, wallMs)) return false;
    const {serverKey} = limit;
    const before = this.getLimit(serverKey, wallMs);
    const known = this.limits.get(serverKey) ?? limit;
    const newest = isNewer(limit, known) ? limit : known;
    const endedAtMs = Math.max(known.endedAtMs, limit.endedAtMs);
    this.limits.set(serverKey, {...newest, endedAtMs});
    return this.getLimit(serverKey, wallMs) !== before;
  }

  /**
   * Returns the limit of a server that is in force; undefined for none.
   * @param wallMs - Present Unix time in milliseconds.
   */
  getLimit(serverKey: bigint, wallMs: number): number | undefined {
    const limit = this.limits.get(serverKey);
    if (!limit) return undefined;
    const {perSecond, namedAtMs, endedAtMs} = limit;
    if (endedAtMs > namedAtMs + MIN_END_DELAY_MS) return undefined;
    if (wallMs - Math.max(namedAtMs, endedAtMs) > SILENCE_MS) return undefined;
    return Math.max(MIN_PER_SECOND, perSecond);
  }

  /**
   * Returns what is known of all servers, and forgets servers without a response for a long time.
   * @param wallMs - Present Unix time in milliseconds.
   */
  getAll(wallMs: number): readonly NamedLimit[] {
    for (const [key, {namedAtMs, endedAtMs}] of this.limits) {
      if (wallMs - Math.max(namedAtMs, endedAtMs) > SILENCE_MS) this.limits.delete(key);
    }
    return [...this.limits.values()];
  }
}

/** Of two limits in the same millisecond the lower one counts, so that the order of merging doesn't matter. */
function isNewer(a: NamedLimit, b: NamedLimit): boolean {
  if (a.namedAtMs !== b.namedAtMs) return a.namedAtMs > b.namedAtMs;
  return a.perSecond < b.perSecond;
}

function isPlausible({perSecond, namedAtMs, endedAtMs}: NamedLimit, wallMs: number): boolean {
  const latestMs = Math.max(namedAtMs, endedAtMs);
  return Number.isFinite(perSecond) && perSecond >= 0 && latestMs <= wallMs + MAX_CLOCK_ERROR_MS;
}
