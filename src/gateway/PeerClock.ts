/** Estimates the wall clock from several gateways, so that one wrong clock doesn't count usage in the wrong window. */

/** Constructor options of `PeerClock`. */
export interface PeerClockOptions {
  /** Returns the Unix time of this gateway's clock in milliseconds. */
  readonly getWallMs: () => number;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
}

/** Offset of a peer's wall clock from this gateway's monotonic clock. */
interface PeerOffset {
  /** The peer's Unix time when this gateway's monotonic clock was 0. */
  readonly offsetMs: number;
  readonly receivedAtMs: number;
}

/** Offsets of gateways that have sent nothing for longer are ignored. */
const PEER_CLOCK_EXPIRY_MS = 2_000;
/** Smaller differences are attributed to the datagrams' transit time and not corrected. */
const MIN_CORRECTION_MS = 100;

/** Computes the median of the clocks of this gateway and of all gateways from which datagrams arrive. */
export class PeerClock {
  private readonly options: PeerClockOptions;
  private readonly peerOffsets = new Map<string, PeerOffset>();

  constructor(options: PeerClockOptions) {
    this.options = options;
  }

  /**
   * Records the offset of a peer's clock.
   * @param gatewayId - Id of the peer.
   * @param wallMs - Unix time in the datagram that has just arrived from the peer.
   */
  applyPeerReport(gatewayId: string, wallMs: number): void {
    const nowMs = this.options.getNowMs();
    this.peerOffsets.set(gatewayId, {offsetMs: wallMs - nowMs, receivedAtMs: nowMs});
  }

  /** Returns the uncorrected Unix time of this gateway's clock, which is sent to the peers. */
  getOwnWallMs(): number {
    return this.options.getWallMs();
  }

  /** Returns the median Unix time, or that of this gateway's clock if the two differ by less than the threshold. */
  getWallMs(): number {
    const nowMs = this.options.getNowMs();
    const ownMs = this.options.getWallMs();
    const offsetsMs = [ownMs - nowMs, ...this.getPeerOffsetsMs(nowMs)].sort((a, b) => a - b);
    const medianMs = nowMs + offsetsMs[Math.floor((offsetsMs.length - 1) / 2)];
    return Math.abs(medianMs - ownMs) < MIN_CORRECTION_MS ? ownMs : medianMs;
  }

  private getPeerOffsetsMs(nowMs: number): readonly number[] {
    return [...this.peerOffsets.values()]
      .filter(({receivedAtMs}) => nowMs - receivedAtMs <= PEER_CLOCK_EXPIRY_MS)
      .map(({offsetMs}) => offsetMs);
  }
}
