/**
 * Keeps requests from backend servers that crash on them: collects what this gateway sees of crashes, shares it with the
 * other gateways, and refuses requests that contain what has crashed several servers.
 */
import {getServerStartKey, type KnownServer} from '../catalog/index.js';
import {
  CrashEvidence,
  NO_FINDINGS,
  SurvivalMemory,
  decideQuarantines,
  getPartSuspects,
  getRequestSuspect,
  type CrashFindings,
  type QuarantineCheck,
  type QuarantinePeriod,
  type Suspect,
  type SuspectRequest,
} from '../controllers/quarantine/index.js';
import type {Answer} from '../exchange/index.js';
import type {EventLogger} from '../logging/index.js';
import {rankByRendezvous, takeInTurn} from '../utils/index.js';

/** Constructor options of `RequestQuarantine`. */
export interface RequestQuarantineOptions {
  /** Id of this gateway. */
  readonly ownId: string;
  readonly events: EventLogger;
  /** Returns whether nothing listens at a server's address any more. */
  readonly hasStopped: (server: KnownServer) => Promise<boolean>;
  /** Returns whether a server was expected to go on serving. */
  readonly isExpectedToServe: (server: KnownServer) => boolean;
  /** Returns the ids of the gateways that may be sending requests, including this one. */
  readonly getGatewayIds: (nowMs: number) => readonly string[];
  /** Returns whether this gateway has had time to learn of the other gateways since its start. */
  readonly isFleetKnown: (nowMs: number) => boolean;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Returns the Unix time in milliseconds, the same at all gateways. */
  readonly getWallMs: () => number;
}

/** An attempt whose connection ended before its response was complete. */
export interface LostRequest {
  readonly request: SuspectRequest;
  readonly server: KnownServer;
  /** Time since its first event; undefined if it had none. */
  readonly sinceFirstEventMs: number | undefined;
}

/** Attempts lost on one start of a server, until it is known whether the server has stopped. */
interface PendingLoss {
  readonly server: KnownServer;
  readonly lostAtWallMs: number;
  readonly suspects: Set<Suspect>;
}

/** An attempt whose first event is older was not what the server was beginning to answer. */
const MAX_FIRST_EVENT_AGE_MS = 150;
/** A suspect with a response in this time before a crash is not reported: what crashes servers gets none. */
const RECENT_ANSWER_MS = 2_000;
/** Time after the start of a quarantine in which other gateways may still object, so that callers should ask again. */
const OBJECTION_MS = 1_000;
/** Delay before a caller retries while another gateway tries a suspect. */
const TRIAL_RETRY_MS = 1_000;
/** Time after which a trial without a result is given up and the next one may begin. */
const TRIAL_TIMEOUT_MS = 20_000;
/** Time for which one gateway may try suspects; another one may then, which perhaps gets more of their requests. */
const TRIAL_TURN_MS = 20_000;
/** Time for which evidence is sent with every datagram after it was learned. */
const NEWS_MS = 1_500;
/** Crashes, and survivals, in one datagram. */
const CRASHES_IN_DATAGRAM = 8;
const SURVIVALS_IN_DATAGRAM = 24;

/** One gateway's part in detecting and refusing what crashes backend servers. */
export class RequestQuarantine {
  private readonly options: RequestQuarantineOptions;
  private readonly evidence = new CrashEvidence();
  private readonly memory = new SurvivalMemory();
  private readonly pendingLosses = new Map<bigint, PendingLoss>();
  /** Monotonic times at which this gateway let a request with an expired quarantine run. */
  private readonly trialsAtMs = new Map<Suspect, number>();
  /** Monotonic times at which crashes, by server, and survivals were learned. */
  private readonly learnedAtMs = new Map<bigint, number>();
  private quarantines: ReadonlyMap<Suspect, QuarantinePeriod> = new Map();
  private crashCursor = 0;
  private onNews: () => void = () => undefined;

  constructor(options: RequestQuarantineOptions) {
    this.options = options;
  }

  /**
   * Sets what is called when this gateway itself has learned something that the others don't know.
   * @param onNews - Sends the findings to the other gateways at once.
   */
  setNewsListener(onNews: () => void): void {
    this.onNews = onNews;
  }

  /**
   * Returns whether a request may be sent.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  check(request: SuspectRequest, nowMs: number): QuarantineCheck {
    if (this.quarantines.size === 0) return {kind: 'run'};
    const wallMs = this.options.getWallMs();
    const suspects = getSuspects(request);
    const quarantined = suspects.filter(suspect => this.quarantines.has(suspect));
    if (quarantined.length === 0) return {kind: 'run'};
    const delaysMs = quarantined.map(suspect =>
      this.isUndecided(suspect, suspects, nowMs) ? 0 : this.getRetryAfterMs(suspect, wallMs, nowMs),
    );
    const retryAfterMs = Math.max(...delaysMs);
    if (retryAfterMs > 0) return {kind: 'refused', retryAfterMs};
    for (const suspect of quarantined) this.startTrial(suspect, nowMs);
    return {kind: 'run'};
  }

  /** Records an attempt that was lost, and finds out whether its server has crashed. */
  addLost({request, server, sinceFirstEventMs}: LostRequest): void {
    if (!this.options.isExpectedToServe(server)) return;
    const key = getServerStartKey(server.entry);
    const pending = this.pendingLosses.get(key) ?? this.addPendingLoss(key, server);
    if (sinceFirstEventMs !== undefined && sinceFirstEventMs > MAX_FIRST_EVENT_AGE_MS) return;
    for (const suspect of getSuspects(request)) pending.suspects.add(suspect);
  }

  /**
   * Records a complete response: its request crashes no servers. One that ends with its connection soon after its first
   * event shows nothing, since its server may have crashed.
   */
  addAnswer(request: SuspectRequest, {isFramed, sinceFirstEventMs}: Answer): void {
    if (!isFramed && sinceFirstEventMs <= MAX_FIRST_EVENT_AGE_MS) return;
    const wallMs = this.options.getWallMs();
    const suspects = this.evidence.isEmpty ? getPartSuspects(request) : getSuspects(request);
    this.memory.addAnswer(suspects, wallMs);
    if (!this.evidence.isEmpty) this.vouchFor(suspects, wallMs);
  }

  /**
   * Applies what another gateway has found; returns whether it was news.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  applyFindings({crashes, survivals}: CrashFindings, nowMs: number): boolean {
    const wallMs = this.options.getWallMs();
    const newCrashes = crashes.filter(crash => this.evidence.addCrash(crash, wallMs));
    const newSurvivals = survivals.filter(survival => this.evidence.addSurvival(survival, wallMs));
    for (const {serverKey} of newCrashes) this.learnedAtMs.set(serverKey, nowMs);
    for (const {suspect} of newSurvivals) this.learnedAtMs.set(suspect, nowMs);
    if (newCrashes.length === 0 && newSurvivals.length === 0) return false;
    this.vouchFor(
      newCrashes.flatMap(({suspects}) => suspects),
      wallMs,
    );
    this.update();
    return true;
  }

  /**
   * Returns the findings for a datagram: the new ones, or some of all in turn.
   * @param isFull - Whether older findings are included.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getFindings(isFull: boolean, nowMs: number): CrashFindings {
    if (this.evidence.isEmpty) return NO_FINDINGS;
    if (this.evidence.removeOld(this.options.getWallMs())) this.update();
    const {crashes, survivals} = this.evidence.getFindings();
    const isNew = (key: bigint) => nowMs - (this.learnedAtMs.get(key) ?? -Infinity) <= NEWS_MS;
    const sentCrashes = isFull
      ? this.takeInTurn(crashes)
      : crashes.filter(({serverKey}) => isNew(serverKey)).slice(-CRASHES_IN_DATAGRAM);
    const sentSuspects = new Set(sentCrashes.flatMap(({suspects}) => suspects));
    const sentSurvivals = survivals.filter(
      ({suspect}) => isNew(suspect) || (isFull && sentSuspects.has(suspect)),
    );
    return {crashes: sentCrashes, survivals: sentSurvivals.slice(-SURVIVALS_IN_DATAGRAM)};
  }

  /** Returns the number of suspects in quarantine, for metrics. */
  getQuarantineCount(): number {
    const wallMs = this.options.getWallMs();
    return [...this.quarantines.values()].filter(({untilMs}) => untilMs > wallMs).length;
  }

  /** Returns the time after which a caller may retry; 0 if the request may run, to try the suspect again. */
  private getRetryAfterMs(suspect: Suspect, wallMs: number, nowMs: number): number {
    const {sinceMs = 0, untilMs = 0} = this.quarantines.get(suspect) ?? {};
    if (wallMs < untilMs) {
      return wallMs - sinceMs < OBJECTION_MS ? OBJECTION_MS : untilMs - wallMs;
    }
    const mayTry = !this.isTrialRunning(suspect, nowMs) && this.hasTrialTurn(wallMs, nowMs);
    return mayTry ? 0 : TRIAL_RETRY_MS;
  }

  /**
   * Returns whether a request shows which of several suspects of the same crashes is the cause: it has this one, but not
   * all of its rivals. It may then run at once, since either result decides.
   */
  private isUndecided(suspect: Suspect, suspects: readonly Suspect[], nowMs: number): boolean {
    const rivals = this.quarantines.get(suspect)?.rivals ?? [];
    const isTelling = rivals.some(rival => !suspects.includes(rival));
    return isTelling && !this.isTrialRunning(suspect, nowMs);
  }

  private isTrialRunning(suspect: Suspect, nowMs: number): boolean {
    return nowMs - (this.trialsAtMs.get(suspect) ?? -Infinity) < TRIAL_TIMEOUT_MS;
  }

  /** Returns whether it is this gateway's turn to try what other gateways refuse; no two have it at a time. */
  private hasTrialTurn(wallMs: number, nowMs: number): boolean {
    const {ownId, getGatewayIds, isFleetKnown} = this.options;
    if (!isFleetKnown(nowMs)) return false;
    const turn = Math.floor(wallMs / TRIAL_TURN_MS);
    const [first] = rankByRendezvous(`trial ${turn}`, getGatewayIds(nowMs), id => id);
    return first === ownId;
  }

  private startTrial(suspect: Suspect, nowMs: number): void {
    this.trialsAtMs.set(suspect, nowMs);
    this.options.events.log('quarantine trial', {suspect: toText(suspect)});
  }

  private addPendingLoss(key: bigint, server: KnownServer): PendingLoss {
    const pending = {server, lostAtWallMs: this.options.getWallMs(), suspects: new Set<Suspect>()};
    this.pendingLosses.set(key, pending);
    this.options
      .hasStopped(server)
      .then(hasStopped => this.endPendingLoss(key, pending, hasStopped))
      .catch((error: unknown) => {
        this.pendingLosses.delete(key);
        this.options.events.log('server not checked', {
          server: server.entry.id,
          error: String(error),
        });
      });
    return pending;
  }

  private endPendingLoss(
    key: bigint,
    {server, lostAtWallMs, suspects}: PendingLoss,
    hasStopped: boolean,
  ): void {
    this.pendingLosses.delete(key);
    if (!hasStopped || !this.options.isExpectedToServe(server)) return;
    const reported = [...suspects].filter(suspect => !this.hasRecentAnswer(suspect, lostAtWallMs));
    const {id, failureDomain} = server.entry;
    this.options.events.log('server crashed', {
      server: id,
      failureDomain,
      suspects: reported.map(toText).join(),
      cleared: suspects.size - reported.length,
    });
    const crash = {serverKey: key, failureDomain, crashedAtMs: lostAtWallMs, suspects: reported};
    if (!this.evidence.addCrash(crash, this.options.getWallMs())) return;
    this.learnedAtMs.set(key, this.options.getNowMs());
    this.vouchFor(reported, this.options.getWallMs());
    this.update();
    this.onNews();
  }

  private hasRecentAnswer(suspect: Suspect, atWallMs: number): boolean {
    const answeredAtMs = this.memory.getAnsweredAtMs(suspect) ?? -Infinity;
    return answeredAtMs >= atWallMs - RECENT_ANSWER_MS;
  }

  /** Adds what this gateway has seen answered to the evidence, if it matters there. */
  private vouchFor(suspects: readonly Suspect[], wallMs: number): void {
    const nowMs = this.options.getNowMs();
    let isNews = false;
    for (const suspect of suspects) {
      const survivedAtMs = this.memory.getAnsweredAtMs(suspect);
      if (survivedAtMs === undefined) continue;
      if (!this.evidence.addSurvival({suspect, survivedAtMs}, wallMs)) continue;
      this.learnedAtMs.set(suspect, nowMs);
      isNews = true;
    }
    if (!isNews) return;
    this.update();
    this.onNews();
  }

  private update(): void {
    const findings = this.evidence.getFindings();
    const previous = this.quarantines;
    this.quarantines = decideQuarantines(findings);
    for (const [suspect, {sinceMs, untilMs}] of this.quarantines) {
      if (previous.get(suspect)?.sinceMs === sinceMs) continue;
      this.options.events.log('quarantine begun', {
        suspect: toText(suspect),
        crashes: findings.crashes.filter(({suspects}) => suspects.includes(suspect)).length,
        lengthMs: Math.round(untilMs - sinceMs),
      });
    }
    for (const suspect of previous.keys()) {
      if (this.quarantines.has(suspect)) continue;
      this.trialsAtMs.delete(suspect);
      this.options.events.log('quarantine ended', {suspect: toText(suspect)});
    }
    this.forgetOld(findings);
  }

  private forgetOld({crashes, survivals}: CrashFindings): void {
    const keys = new Set([
      ...crashes.map(({serverKey}) => serverKey),
      ...survivals.map(({suspect}) => suspect),
    ]);
    for (const key of this.learnedAtMs.keys()) if (!keys.has(key)) this.learnedAtMs.delete(key);
  }

  private takeInTurn<Item>(items: readonly Item[]): readonly Item[] {
    const taken = takeInTurn(items, this.crashCursor, CRASHES_IN_DATAGRAM);
    this.crashCursor += CRASHES_IN_DATAGRAM;
    return taken;
  }
}

function getSuspects(request: SuspectRequest): readonly Suspect[] {
  return [...getPartSuspects(request), getRequestSuspect(request)];
}

function toText(suspect: Suspect): string {
  return suspect.toString(16);
}
