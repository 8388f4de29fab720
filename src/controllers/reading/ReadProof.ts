/**
 * Up to when a gateway's copy of a shared log is proved to be complete. Unlike the age of a relayed read, a proof never
 * counts time in transit as if it hadn't passed, however long a datagram was on its way or waited for its recipient: a
 * gateway measures with its own clock, from the moment at which it sent the stamp that a peer's datagram returns.
 */

/** What a datagram says about the proof of its sender, for one recipient. */
export interface ReportedProof {
  /** Key of the sender's start. */
  readonly peerKey: number;
  /** Age of the sender's proof when it sent the datagram. */
  readonly ageMs: number;
  /** Time on the sender's clock when it sent the datagram. */
  readonly stampMs: number;
  /** The latest stamp of the recipient that the sender had received; undefined if it returns none. */
  readonly returnedStampMs: number | undefined;
}

/** What a gateway last heard of a peer. Times on the gateway's own clock, but for the stamp. */
interface KnownPeer {
  readonly stampMs: number;
  readonly receivedAtMs: number;
  /** The peer's proof, as new as it can be. */
  readonly provenAtMs: number;
}

/** A peer whose proof is older by less than this isn't sent its stamp: its proof would hardly get newer. */
const MIN_GAIN_MS = 250;
/** Peers that haven't been heard of for this long are forgotten, and stamps that are older prove nothing. */
const RETENTION_MS = 30_000;

/** Keeps the newest proof, and the stamps of the peers. All times are those of a clock that counts suspensions. */
export class ReadProof {
  private provenMs = -Infinity;
  private readonly peers = new Map<number, KnownPeer>();

  /** Time up to which the copy is proved to be complete; -Infinity before the first read. */
  get provenAtMs(): number {
    return this.provenMs;
  }

  /**
   * Records a read of this gateway itself.
   * @param provenAtMs - Time that is certainly not later than that of the read.
   */
  addOwnRead(provenAtMs: number): void {
    this.provenMs = Math.max(this.provenMs, provenAtMs);
  }

  /**
   * Applies a peer's datagram.
   * @param isSameLog - Whether the peer's copy has the same records; otherwise only its stamp is kept.
   * @param nowMs - Current time.
   */
  apply(
    {peerKey, ageMs, stampMs, returnedStampMs}: ReportedProof,
    isSameLog: boolean,
    nowMs: number,
  ): void {
    this.peers.delete(peerKey);
    this.peers.set(peerKey, {stampMs, receivedAtMs: nowMs, provenAtMs: nowMs - ageMs});
    this.forgetOld(nowMs);
    if (!isSameLog || returnedStampMs === undefined) return;
    const isPlausible = returnedStampMs <= nowMs && nowMs - returnedStampMs <= RETENTION_MS;
    if (isPlausible) this.addOwnRead(returnedStampMs - ageMs);
  }

  /**
   * Returns the stamps of the peers whose proofs this gateway's datagrams can renew, by the keys of their starts.
   * @param recipientKeys - Keys of the peers that get the datagram.
   * @param nowMs - Current time.
   */
  getStampsToReturn(recipientKeys: readonly number[], nowMs: number): ReadonlyMap<number, number> {
    const lagging = recipientKeys.flatMap(key => {
      const peer = this.peers.get(key);
      if (!peer || nowMs - peer.receivedAtMs > RETENTION_MS) return [];
      return peer.provenAtMs < this.provenMs - MIN_GAIN_MS ? [[key, peer.stampMs] as const] : [];
    });
    return new Map(lagging);
  }

  private forgetOld(nowMs: number): void {
    for (const [key, {receivedAtMs}] of this.peers) {
      if (nowMs - receivedAtMs <= RETENTION_MS) return;
      this.peers.delete(key);
    }
  }
}
