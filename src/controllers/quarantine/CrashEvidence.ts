/**
 * Evidence of what crashes backend servers, which gateways collect together: the crashes with what was about to run on
 * the servers, and what has got a response since. Merging the same evidence again, late or in another order changes
 * nothing, and all times are those of the observations.
 */

/**
 * Key of something in a request that may have crashed a server: a part of its prompt, or the request as a whole. See
 * `getSuspects`.
 */
export type Suspect = bigint;

/** The crash of one start of a backend server. */
export interface CrashReport {
  /** Key of the server's start; reports of several gateways with the same key are about the same crash. */
  readonly serverKey: bigint;
  readonly failureDomain: string;
  /** Unix time of the earliest report in milliseconds. */
  readonly crashedAtMs: number;
  /** What the requests contained whose responses the server was about to begin. */
  readonly suspects: readonly Suspect[];
}

/** The latest complete response to a request with a suspect. */
export interface Survival {
  readonly suspect: Suspect;
  /** Unix time of the response in milliseconds. */
  readonly survivedAtMs: number;
}

/** Evidence of one gateway, or the part of it that fits into a datagram. */
export interface CrashFindings {
  readonly crashes: readonly CrashReport[];
  readonly survivals: readonly Survival[];
}

/** Evidence of nothing. */
export const NO_FINDINGS: CrashFindings = {crashes: [], survivals: []};

/** Time for which a crash is kept; longer than the longest quarantine. */
const RETENTION_MS = 1_200_000;
/** Crashes kept; the oldest are dropped first. */
const MAX_CRASHES = 64;
/** Suspects kept for one crash; a server has few requests that have no event yet. */
const MAX_SUSPECTS = 64;
/** Reports with a later time than this after the present one come from a wrong clock. */
const MAX_CLOCK_ERROR_MS = 10_000;

/** Merges crashes and survivals; both are identified by what was observed, not by who reported it. */
export class CrashEvidence {
  private readonly crashes = new Map<bigint, CrashReport>();
  /** Times of the latest survivals, for the suspects of `crashes`. */
  private readonly survivals = new Map<Suspect, number>();

  /** Whether no crash is known. */
  get isEmpty(): boolean {
    return this.crashes.size === 0;
  }

  /**
   * Adds a crash, or what another gateway saw of it; returns whether it was news.
   * @param crash - With the suspects that the reporting gateway saw.
   * @param wallMs - Present Unix time in milliseconds.
   */
  addCrash(crash: CrashReport, wallMs: number): boolean {
    if (!isPlausible(crash.crashedAtMs, wallMs)) return false;
    const known = this.crashes.get(crash.serverKey);
    const suspects = mergeSuspects(known?.suspects ?? [], crash.suspects);
    const crashedAtMs = Math.min(known?.crashedAtMs ?? Infinity, crash.crashedAtMs);
    const isSame = known?.crashedAtMs === crashedAtMs && known.suspects.length === suspects.length;
    if (isSame) return false;
    const {serverKey, failureDomain} = known ?? crash;
    this.crashes.set(serverKey, {serverKey, failureDomain, crashedAtMs, suspects});
    this.removeOldest();
    return true;
  }

  /**
   * Adds a survival; returns whether it was news, which it is only if it is later than a crash with the suspect and
   * later than all known survivals, or the first one.
   * @param wallMs - Present Unix time in milliseconds.
   */
  addSurvival({suspect, survivedAtMs}: Survival, wallMs: number): boolean {
    if (survivedAtMs > wallMs + MAX_CLOCK_ERROR_MS) return false;
    const knownMs = this.survivals.get(suspect);
    if (survivedAtMs <= (knownMs ?? -Infinity)) return false;
    const crashTimesMs = [...this.crashes.values()]
      .filter(({suspects}) => suspects.includes(suspect))
      .map(({crashedAtMs}) => crashedAtMs);
    if (crashTimesMs.length === 0) return false;
    const clears = crashTimesMs.some(atMs => atMs > (knownMs ?? -Infinity) && atMs <= survivedAtMs);
    if (knownMs !== undefined && !clears) return false;
    this.survivals.set(suspect, survivedAtMs);
    return true;
  }

  /**
   * Removes crashes that are too old to matter; returns whether there were any.
   * @param wallMs - Present Unix time in milliseconds.
   */
  removeOld(wallMs: number): boolean {
    const old = [...this.crashes.values()].filter(
      ({crashedAtMs}) => wallMs - crashedAtMs > RETENTION_MS,
    );
    for (const {serverKey} of old) this.crashes.delete(serverKey);
    if (old.length > 0) this.removeUnusedSurvivals();
    return old.length > 0;
  }

  /** Returns all evidence, oldest crash first. */
  getFindings(): CrashFindings {
    const crashes = [...this.crashes.values()].sort((a, b) => a.crashedAtMs - b.crashedAtMs);
    const survivals = [...this.survivals].map(([suspect, survivedAtMs]) => ({
      suspect,
      survivedAtMs,
    }));
    return {crashes, survivals};
  }

  private removeOldest(): void {
    if (this.crashes.size <= MAX_CRASHES) return;
    const [oldest] = [...this.crashes.values()].sort((a, b) => a.crashedAtMs - b.crashedAtMs);
    this.crashes.delete(oldest.serverKey);
    this.removeUnusedSurvivals();
  }

  private removeUnusedSurvivals(): void {
    const suspects = new Set([...this.crashes.values()].flatMap(crash => crash.suspects));
    for (const suspect of this.survivals.keys()) {
      if (!suspects.has(suspect)) this.survivals.delete(suspect);
    }
  }
}

/** Returns the suspects of both lists; if there are too many, a part that doesn't depend on the order of reports. */
function mergeSuspects(a: readonly Suspect[], b: readonly Suspect[]): readonly Suspect[] {
  const merged = [...new Set([...a, ...b])];
  if (merged.length <= MAX_SUSPECTS) return merged;
  return merged.sort((left, right) => (left < right ? -1 : 1)).slice(0, MAX_SUSPECTS);
}

function isPlausible(atMs: number, wallMs: number): boolean {
  return atMs <= wallMs + MAX_CLOCK_ERROR_MS && atMs > wallMs - RETENTION_MS;
}
