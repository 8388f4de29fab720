/** Decides from rounds of probes whether a gateway has lost its links to the backend servers. */

/** Results of probes of several servers at the same time. */
export interface ProbeRound {
  readonly reached: number;
  readonly unreached: number;
}

/** With fewer servers, their own failures can't be told from a lost link. */
const MIN_PROBES = 3;
/** Share of unreachable servers above which the links are lost. */
const LOST_SHARE = 0.7;
/** Share of reachable servers from which the links are back. */
const REGAINED_SHARE = 0.6;
/** Good rounds one after the other until the links are back, so that a link that comes and goes is not used. */
const GOOD_ROUNDS = 2;

/** Whether a gateway reaches the backend servers. */
export class LinkState {
  private isLost = false;
  private goodRounds = 0;
  private hasReachedAny = true;

  /** Whether the links to most backend servers are lost. */
  get isCutOff(): boolean {
    return this.isLost;
  }

  /** Whether the last round reached a server. */
  get reachesAny(): boolean {
    return this.hasReachedAny;
  }

  /** Applies a round of probes; returns whether `isCutOff` has changed. */
  apply({reached, unreached}: ProbeRound): boolean {
    const probes = reached + unreached;
    if (probes === 0) return false;
    this.hasReachedAny = reached > 0;
    return this.isLost
      ? this.applyWhileLost(reached / probes)
      : this.applyWhileSound(reached, probes);
  }

  private applyWhileSound(reached: number, probes: number): boolean {
    if (probes < MIN_PROBES || (probes - reached) / probes <= LOST_SHARE) return false;
    this.isLost = true;
    this.goodRounds = 0;
    return true;
  }

  private applyWhileLost(reachedShare: number): boolean {
    this.goodRounds = reachedShare >= REGAINED_SHARE ? this.goodRounds + 1 : 0;
    if (this.goodRounds < GOOD_ROUNDS) return false;
    this.isLost = false;
    return true;
  }
}
