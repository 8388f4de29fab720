/** Recent crashes of backend servers seen by this entry, to tell crashes by a request from larger outages. */

/** A crash of a backend server. */
export interface ServerCrash {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly atMs: number;
}

/** A crash with the fingerprints of the requests that ran on the backend server. */
interface RecordedCrash extends ServerCrash {
  readonly fingerprints: ReadonlySet<string>;
}

/** Options of a `CrashHistory`. */
export interface CrashHistoryOptions {
  /** Crashes of several servers of a failure domain within this time are attributed to an outage of the domain. */
  readonly domainOutageWindowMs: number;
  /** Time without a further crash after which a wave of crashes is considered over. */
  readonly waveQuietMs: number;
  /** Time for which suspects avoid a failure domain after a crash of one of its servers. */
  readonly avoidedDomainMs: number;
}

/** Crashed servers of one failure domain that make an outage of the domain. */
const MIN_OUTAGE_SERVERS = 3;

/** Keeps crashes for the longest of the times in its options. */
export class CrashHistory {
  private readonly options: CrashHistoryOptions;
  private crashes: readonly RecordedCrash[] = [];

  constructor(options: CrashHistoryOptions) {
    this.options = options;
  }

  /**
   * Records a crash and drops those that are too old to matter.
   * @param fingerprints - Fingerprints of the requests that ran on the server.
   */
  recordCrash(crash: ServerCrash, fingerprints: ReadonlySet<string>): void {
    const {domainOutageWindowMs, waveQuietMs, avoidedDomainMs} = this.options;
    const retentionMs = Math.max(domainOutageWindowMs, waveQuietMs, avoidedDomainMs);
    const kept = this.crashes.filter(({atMs}) => atMs > crash.atMs - retentionMs);
    this.crashes = [...kept, {...crash, fingerprints}];
  }

  /**
   * Returns whether a crash is part of an outage of its failure domain. Only other servers that did not run the request
   * are counted: several copies of a poison request can crash as many servers of one domain without an outage.
   * @param fingerprint - Request that ran on the crashed server.
   */
  isDomainOutage({instanceId, failureDomain, atMs}: ServerCrash, fingerprint: string): boolean {
    const domainCrashes = this.getUnrelatedCrashes(
      fingerprint,
      atMs - this.options.domainOutageWindowMs,
    ).filter(other => other.failureDomain === failureDomain);
    const others = new Set(domainCrashes.map(other => other.instanceId));
    others.delete(instanceId);
    return others.size >= MIN_OUTAGE_SERVERS - 1;
  }

  /**
   * Returns the time of the last crash of a server that did not run the request, if it is recent enough for a wave of
   * crashes to continue and no poison request ran on that server. Undefined if there is none.
   * @param isPoison - Returns whether a request is known to crash servers.
   */
  getLastUnrelatedCrashAtMs(
    fingerprint: string,
    nowMs: number,
    isPoison: (fingerprint: string) => boolean,
  ): number | undefined {
    const others = this.getUnrelatedCrashes(fingerprint, nowMs - this.options.waveQuietMs);
    return others.filter(other => ![...other.fingerprints].some(isPoison)).at(-1)?.atMs;
  }

  /** Returns the failure domains with a crashed server within the last `avoidedDomainMs`. */
  getAvoidedDomains(nowMs: number): ReadonlySet<string> {
    const earliestMs = nowMs - this.options.avoidedDomainMs;
    const recent = this.crashes.filter(({atMs}) => atMs > earliestMs);
    return new Set(recent.map(({failureDomain}) => failureDomain));
  }

  private getUnrelatedCrashes(fingerprint: string, earliestMs: number): readonly RecordedCrash[] {
    return this.crashes.filter(
      ({atMs, fingerprints}) => atMs > earliestMs && !fingerprints.has(fingerprint),
    );
  }
}
