/** The wall clock as most gateways see it, so that one machine's wrong clock moves nothing between usage windows. */

/** Options of a `PeerClock`. */
export interface PeerClockOptions {
  /** Returns the own wall clock, Unix time. */
  readonly getWallMs: () => number;
  /** Returns the own monotonic clock. */
  readonly getNowMs: () => number;
}

interface PeerBase {
  /** The peer's Unix time at the zero of the own monotonic clock. */
  readonly baseMs: number;
  readonly heardAtMs: number;
}

/** Clocks of gateways that have been silent for longer don't count. */
const EXPIRY_MS = 2_000;
/** A smaller difference is the way of the datagrams. */
const MIN_CORRECTION_MS = 100;

/** Takes the median of the own clock and those of the gateways that are heard. */
export class PeerClock {
  private readonly options: PeerClockOptions;
  private readonly peers = new Map<string, PeerBase>();

  constructor(options: PeerClockOptions) {
    this.options = options;
  }

  /**
   * Takes the clock of another gateway.
   * @param gatewayId - The gateway.
   * @param wallMs - Its Unix time.
   */
  applyPeer(gatewayId: string, wallMs: number): void {
    const nowMs = this.options.getNowMs();
    this.peers.set(gatewayId, {baseMs: wallMs - nowMs, heardAtMs: nowMs});
  }

  /** Returns the own clock's Unix time, which the others are told. */
  getOwnWallMs(): number {
    return this.options.getWallMs();
  }

  /** Returns the present Unix time. */
  getWallMs(): number {
    const nowMs = this.options.getNowMs();
    const ownMs = this.options.getWallMs();
    const bases = [ownMs - nowMs, ...this.getPeerBases(nowMs)].sort((a, b) => a - b);
    const commonMs = nowMs + bases[Math.floor((bases.length - 1) / 2)];
    return Math.abs(commonMs - ownMs) < MIN_CORRECTION_MS ? ownMs : commonMs;
  }

  private getPeerBases(nowMs: number): readonly number[] {
    return [...this.peers.values()]
      .filter(({heardAtMs}) => nowMs - heardAtMs <= EXPIRY_MS)
      .map(({baseMs}) => baseMs);
  }
}
