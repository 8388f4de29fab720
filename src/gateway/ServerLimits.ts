/** The limits of requests per second that backend servers name in their responses. */
import type {KnownServer} from '../catalog/index.js';
import type {EventLogger} from '../logging/index.js';

/** Constructor options of `ServerLimits`. */
export interface ServerLimitsOptions {
  readonly events: EventLogger;
}

/** The last limit that this gateway got from a server. */
interface NamedLimit {
  readonly perSecond: number | undefined;
  readonly namedAtMs: number;
}

/** Follows the limits in the responses that this gateway receives. */
export class ServerLimits {
  private readonly options: ServerLimitsOptions;
  private readonly namedByServerId = new Map<string, NamedLimit>();

  constructor(options: ServerLimitsOptions) {
    this.options = options;
  }

  /**
   * Records what a response says of its server's limit.
   * @param perSecond - Undefined if the response names none.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  applyResponse({entry}: KnownServer, perSecond: number | undefined, nowMs: number): void {
    const previous = this.namedByServerId.get(entry.id);
    if (previous?.perSecond === perSecond) return;
    this.namedByServerId.set(entry.id, {perSecond, namedAtMs: nowMs});
    this.options.events.log('server limit', {
      server: entry.id,
      service: entry.service,
      perSecond,
      sinceChangeMs: previous && Math.round(nowMs - previous.namedAtMs),
    });
  }
}
