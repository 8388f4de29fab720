/** Simulates a version move in virtual time: seeded traffic, entries with circuit breakers, and one lease holder. */
import type {Move, VersionEvidence} from '../../../src/blackboard/index.js';
import {
  EVIDENCE_RETENTION_MS,
  EVIDENCE_WINDOW_MS,
  EvidenceRecorder,
  isWindowFinal,
  mergeEvidence,
} from '../../../src/controllers/moves/index.js';
import {FleetFold, isMoveEnded} from '../../../src/folds/index.js';
import type {LogBody, LogBodyOf} from '../../../src/records/index.js';
import {EVIDENCE_POLICY, type MovePolicy} from './MovePolicy.js';
import {getDeadlineAtMs, MOVE_STARTS_AT_MS, type MoveRun, type MoveRunResult} from './MoveRun.js';
import {DISTURBANCE_START_MS, ENTRIES, ServiceTraffic} from './ServiceTraffic.js';

const TICK_MS = 1_000;
const DECISION_MS = 2_000;
const BREAKER_OPEN_MS = 60_000;
const FAULT_DETECTION_GRACE_MS = 10_000;
const FAILOVER_MS = 8_000;
const EVIDENCE_LAG_MS = 2_000;
const LEASE_TERM_MS = 3_000;
const FULL_PERCENT = 100;
const RECLAIMED_READY_PERCENT = 40;

/** Runs one move, and traffic until its deadline, against the production fold and controllers. */
export class MoveModel {
  private readonly run: MoveRun;
  private readonly policy: MovePolicy;
  private readonly traffic: ServiceTraffic;
  private readonly fold = new FleetFold();
  private readonly entries = Array.from({length: ENTRIES}, () => new EvidenceRecorder());
  private readonly breakerOpenUntilMs = new Array<number>(ENTRIES).fill(0);
  private readonly steps: Array<LogBodyOf<'move-step'>> = [];
  private offset = 0;
  private holderSinceMs = 0;
  private finalEvidence: readonly VersionEvidence[] = [];
  private finalToMs = 0;
  private allRequests = 0;
  private requests = 0;
  private faultyRequests = 0;
  private requestsAfterFault = 0;
  private largestSharePercent = 0;
  private firstFaultAtMs: number | undefined;

  constructor(run: MoveRun, policy: MovePolicy = EVIDENCE_POLICY) {
    this.run = run;
    this.policy = policy;
    this.traffic = new ServiceTraffic(run);
  }

  /** Runs the simulation; can be called once per instance, because it consumes the random numbers. */
  getResult(): MoveRunResult {
    const deadlineAtMs = getDeadlineAtMs(this.run);
    this.append(createClaim('holder-1', -1));
    for (let nowMs = 0; nowMs < MOVE_STARTS_AT_MS; nowMs += TICK_MS) this.sendRequests(nowMs);
    this.append(createRequest(MOVE_STARTS_AT_MS, deadlineAtMs));
    const endedAtMs = this.runMove();
    for (let nowMs = endedAtMs; nowMs < deadlineAtMs; nowMs += TICK_MS)
      this.countRequestsAfterMove(nowMs);
    return {
      move: this.getMove(),
      endedAtMs,
      allRequests: this.allRequests,
      requests: this.requests,
      faultyRequests: this.faultyRequests,
      firstFaultAtMs: this.firstFaultAtMs,
      requestsAfterFault: this.requestsAfterFault,
      largestSharePercent: this.largestSharePercent,
      steps: this.steps,
    };
  }

  private runMove(): number {
    let nowMs = MOVE_STARTS_AT_MS;
    while (!isMoveEnded(this.getMove())) {
      this.sendRequests(nowMs);
      if (nowMs % DECISION_MS === 0) {
        this.tripBreakers(nowMs);
        this.runHolder(nowMs);
      }
      nowMs += TICK_MS;
    }
    return nowMs;
  }

  private runHolder(nowMs: number): void {
    if (this.run.disturbance === 'holder-killed' && nowMs === DISTURBANCE_START_MS) {
      this.holderSinceMs = nowMs + FAILOVER_MS;
      this.finalEvidence = [];
      this.finalToMs = 0;
      this.append(createClaim('holder-2', this.fold.getLease().newestOffset));
    }
    if (nowMs < this.holderSinceMs) return;
    const evidence = this.collectEvidence(nowMs);
    const view = {move: this.getMove(), evidence, readyPercent: this.getReadyPercent(nowMs)};
    for (const effect of this.policy.decideSteps(view, nowMs)) {
      const {moveId, phase, sharePercent, reason} = effect;
      const fencingToken = this.fold.getLease().fencingToken;
      this.largestSharePercent = Math.max(this.largestSharePercent, sharePercent);
      const decidedAtMs = nowMs;
      const body = {moveId, fencingToken, phase, sharePercent, decidedAtMs, reason};
      this.steps.push({kind: 'move-step', ...body});
      this.append({kind: 'move-step', ...body});
    }
  }

  /** Merges the entries' evidence; a new lease holder starts with only the windows that the entries still keep. */
  private collectEvidence(nowMs: number): readonly VersionEvidence[] {
    const fresh = this.entries
      .flatMap(entry => entry.getEvidence(nowMs - EVIDENCE_RETENTION_MS + EVIDENCE_WINDOW_MS))
      .filter(window => window.windowStartMs <= nowMs - EVIDENCE_LAG_MS);
    const isFinal = (window: VersionEvidence) => isWindowFinal(window, nowMs);
    const newlyFinal = fresh.filter(
      window => isFinal(window) && window.windowStartMs >= this.finalToMs,
    );
    this.finalToMs = Math.max(this.finalToMs, ...newlyFinal.map(one => one.windowStartMs + 1));
    this.finalEvidence = mergeEvidence([...this.finalEvidence, ...newlyFinal], nowMs);
    return [
      ...this.finalEvidence,
      ...mergeEvidence(
        fresh.filter(one => !isFinal(one)),
        nowMs,
      ),
    ];
  }

  private tripBreakers(nowMs: number): void {
    this.entries.forEach((entry, index) => {
      if (
        !this.policy.isBreakerTripped(
          entry.getEvidence(nowMs - BREAKER_OPEN_MS),
          this.getMove(),
          nowMs,
        )
      )
        return;
      this.breakerOpenUntilMs[index] = nowMs + BREAKER_OPEN_MS;
    });
  }

  private sendRequests(nowMs: number): void {
    const count = this.traffic.drawCount(nowMs);
    if (nowMs >= MOVE_STARTS_AT_MS) this.allRequests += count;
    for (let request = 0; request < count; request++) this.sendRequest(nowMs);
  }

  private sendRequest(nowMs: number): void {
    const request = this.traffic.drawRequest();
    const isNew = this.drawIsSentToNewVersion(request.entryIndex, nowMs);
    const openRequests = this.traffic.drawOpenRequests(isNew, nowMs);
    const isFaulty = isNew && this.traffic.meetsFault(request.route, openRequests, nowMs);
    if (isNew) this.recordNewVersionRequest(isFaulty, nowMs);
    const sample = this.traffic.drawSample(request, {isNew, isFaulty, openRequests}, nowMs);
    this.entries[request.entryIndex].addAttempt(sample, nowMs);
  }

  /** Counts requests after the end of the move: an accepted version, even a faulty one, receives all of them. */
  private countRequestsAfterMove(nowMs: number): void {
    const count = this.traffic.drawCount(nowMs);
    this.allRequests += count;
    if (this.getMove().phase !== 'done') return;
    for (let index = 0; index < count; index++) {
      const {route} = this.traffic.drawRequest();
      const openRequests = this.traffic.drawOpenRequests(true, nowMs);
      this.recordNewVersionRequest(this.traffic.meetsFault(route, openRequests, nowMs), nowMs);
    }
  }

  private drawIsSentToNewVersion(entryIndex: number, nowMs: number): boolean {
    const move = this.fold.getMoves()[0];
    if (!move || isMoveEnded(move) || nowMs < this.breakerOpenUntilMs[entryIndex]) return false;
    return this.traffic.drawIsNewVersion(move.sharePercent);
  }

  private recordNewVersionRequest(isFaulty: boolean, nowMs: number): void {
    this.requests += 1;
    if (isFaulty) {
      this.faultyRequests += 1;
      this.firstFaultAtMs ??= nowMs;
    }
    if (this.firstFaultAtMs === undefined) return;
    if (nowMs > this.firstFaultAtMs + FAULT_DETECTION_GRACE_MS) this.requestsAfterFault += 1;
  }

  private getReadyPercent(nowMs: number): number {
    return this.traffic.isDisturbed('reclaim-wave', nowMs) ? RECLAIMED_READY_PERCENT : FULL_PERCENT;
  }

  private getMove(): Move {
    const [move] = this.fold.getMoves();
    if (!move) throw new Error('the fold holds no move yet');
    return move;
  }

  private append(body: LogBody): void {
    const offset = this.offset++;
    this.fold.applyRecord({offset, record: {writer: 'w', sequence: offset + 1, body}});
  }
}

function createClaim(holder: string, followsOffset: number): LogBody {
  return {kind: 'lease-claim', holder, followsOffset, termMs: LEASE_TERM_MS};
}

function createRequest(requestedAtMs: number, deadlineAtMs: number): LogBody {
  return {
    kind: 'move-request',
    moveId: 'm1',
    service: 'guidance',
    fromVersion: 'v1',
    toVersion: 'v2',
    requestedAtMs,
    deadlineAtMs,
    requestedBy: 'operator',
  };
}
