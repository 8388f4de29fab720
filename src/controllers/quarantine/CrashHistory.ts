/** The backend servers that this entry saw die lately, by which a wave of losses is told from a crash. */

/** A crash of a backend server. */
export interface ServerCrash {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly atMs: number;
}

/** A crash with the requests that ran on the backend server. */
interface Loss extends ServerCrash {
  readonly fingerprints: ReadonlySet<string>;
}

/** Options of a `LossHistory`. */
export interface LossHistoryOptions {
  /** Crashes in one failure domain within this time are put down to the domain. */
  readonly domainLossWindowMs: number;
  /** Time without another loss after which a wave of losses is over. */
  readonly waveQuietMs: number;
  /** Time for which suspects avoid a failure domain that has lost a server. */
  readonly avoidedDomainMs: number;
}

/** Backend servers of one failure domain lost together that make it the domain's loss. */
const DOMAIN_LOSS_SERVERS = 3;

/** Remembers crashes for as long as they say something about others. */
export class LossHistory {
  private readonly options: LossHistoryOptions;
  private losses: readonly Loss[] = [];

  constructor(options: LossHistoryOptions) {
    this.options = options;
  }

  /**
   * Notes a crash.
   * @param crash - The crash.
   * @param fingerprints - Requests that ran there.
   */
  addLoss(crash: ServerCrash, fingerprints: ReadonlySet<string>): void {
    const {domainLossWindowMs, waveQuietMs, avoidedDomainMs} = this.options;
    const keptMs = Math.max(domainLossWindowMs, waveQuietMs, avoidedDomainMs);
    const kept = this.losses.filter(({atMs}) => atMs > crash.atMs - keptMs);
    this.losses = [...kept, {...crash, fingerprints}];
  }

  /**
   * Returns whether a crash belongs to the loss of its failure domain, judged by backend servers where a request didn't run:
   * what it crashed itself, over several copies, is no loss of the domain.
   * @param crash - The crash.
   * @param fingerprint - The request.
   */
  isDomainLoss({instanceId, failureDomain, atMs}: ServerCrash, fingerprint: string): boolean {
    const lost = this.getOthers(fingerprint, atMs - this.options.domainLossWindowMs).filter(
      loss => loss.failureDomain === failureDomain,
    );
    const others = new Set(lost.map(loss => loss.instanceId));
    others.delete(instanceId);
    return others.size >= DOMAIN_LOSS_SERVERS - 1;
  }

  /**
   * Returns the instant of the last loss of a backend server where a request didn't run, if it is recent enough for others to
   * follow and no other request explains it; undefined for none.
   * @param fingerprint - The request.
   * @param nowMs - Present time.
   * @param isPoison - Returns whether a request is known to crash servers.
   */
  getLastOtherLossMs(
    fingerprint: string,
    nowMs: number,
    isPoison: (fingerprint: string) => boolean,
  ): number | undefined {
    const others = this.getOthers(fingerprint, nowMs - this.options.waveQuietMs);
    return others.filter(loss => ![...loss.fingerprints].some(isPoison)).at(-1)?.atMs;
  }

  /**
   * Returns the failure domains that have lost a backend server lately.
   * @param nowMs - Present time.
   */
  getAvoidedDomains(nowMs: number): ReadonlySet<string> {
    const earliestMs = nowMs - this.options.avoidedDomainMs;
    const recent = this.losses.filter(({atMs}) => atMs > earliestMs);
    return new Set(recent.map(({failureDomain}) => failureDomain));
  }

  private getOthers(fingerprint: string, earliestMs: number): readonly Loss[] {
    return this.losses.filter(
      ({atMs, fingerprints}) => atMs > earliestMs && !fingerprints.has(fingerprint),
    );
  }
}
