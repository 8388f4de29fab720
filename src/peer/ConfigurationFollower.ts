/** Keeps the blackboard's `configuration` section up to date from the log, or from peers if the log is unreachable. */
import type {Blackboard, Member} from '../blackboard/index.js';
import {
  decideConfigurationCurrency,
  type ConfigurationCurrencyDecision,
  type PeerProbeResult,
} from '../controllers/configuration/index.js';
import {ConfigurationFold} from '../folds/index.js';
import {
  LogWriter,
  SnapshotPublisher,
  StreamFollower,
  systemSleep,
  type LogAccess,
  type Sleep,
} from '../log/index.js';
import {decodeRecord, encodeRecord} from '../records/index.js';
import type {PeerClient} from './PeerClient.js';
import type {ReadLogRequest} from './generated/buckthorn/peer/v1/peer_pb.js';
import type {PeerHandlers} from './PeerServer.js';
import {createReadLogHandler, type ReadLogResult, type ReadLogSource} from './StreamRelay.js';

/** Options of a `ConfigurationFollower`. */
export interface ConfigurationFollowerOptions {
  readonly log: LogAccess;
  readonly client: PeerClient;
  readonly blackboard: Blackboard;
  /** Id of this process; unique among all processes that ever write to the log. */
  readonly writer: string;
  /** Returns the time in milliseconds of a clock that never goes back. */
  readonly getNowMs: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Interval of configuration snapshots, well below the log's retention; 10 min if undefined. */
  readonly snapshotIntervalMs?: number;
  /** Replaces the system timer in tests. */
  readonly sleep?: Sleep;
}

const STREAM = 'configuration';
const DEFAULT_SNAPSHOT_INTERVAL_MS = 600_000;
const WRITE_TIMEOUT_MS = 10_000;
/** Interval at which `confirmedAtMs` is updated from the log's read progress. */
const CONFIRMATION_INTERVAL_MS = 500;
/** The log counts as read up to its end if a read reached the end no longer ago than this. */
const MAX_CAUGHT_UP_AGE_MS = 4_000;
/** Maximum number of peers whose last probe result is kept. */
const MAX_PROBE_RESULTS = 256;
/** Value of `staleConfigurationGraceMs` until the first configuration is known. */
const INITIAL_GRACE_MS = 30_000;

/**
 * Reads the configuration stream and adopts newer revisions from peers, so that an entry that is cut off from the log
 * alone stays current. The revision never decreases.
 */
export class ConfigurationFollower implements ReadLogSource {
  readonly stream = STREAM;
  private readonly options: ConfigurationFollowerOptions;
  private readonly fold = new ConfigurationFold();
  private readonly follower: StreamFollower;
  private readonly publisher: SnapshotPublisher;
  private readonly probeResults = new Map<string, PeerProbeResult>();
  private readonly stopping = new AbortController();
  /** Time at which the revision was last known to be the newest. */
  private confirmedAtMs = 0;
  private loop: Promise<void> | undefined;
  private adopting: Promise<void> | undefined;

  constructor(options: ConfigurationFollowerOptions) {
    this.options = options;
    const {log, writer, getNowMs, random, sleep} = options;
    const logWriter = new LogWriter({
      stream: STREAM,
      log,
      writer,
      timeoutMs: WRITE_TIMEOUT_MS,
      sleep,
    });
    this.follower = new StreamFollower({
      stream: STREAM,
      log,
      getNowMs,
      sleep,
      fold: this.fold,
      writer: logWriter,
      onApplied: placed => {
        this.publisher.observe(placed);
        this.writeSection();
      },
    });
    this.publisher = new SnapshotPublisher({
      fold: this.fold,
      writer: logWriter,
      getNowMs,
      random,
      sleep,
      intervalMs: options.snapshotIntervalMs ?? DEFAULT_SNAPSHOT_INTERVAL_MS,
      getNextOffset: () => this.follower.getNextOffset(),
      isCaughtUp: () => this.isCaughtUp(),
    });
  }

  /** Returns the `ReadLog` handler, which sends peers the configuration that this daemon has read. */
  getHandlers(): PeerHandlers {
    return createReadLogHandler([this]);
  }

  handleReadLog({fromOffset}: ReadLogRequest): ReadLogResult {
    const nextOffset = this.follower.getNextOffset();
    const includesSnapshot = this.fold.isComplete() && Number(fromOffset) <= nextOffset;
    const bodies = includesSnapshot ? this.fold.createSnapshot(nextOffset - 1) : [];
    const {writer, getNowMs} = this.options;
    const records = bodies.map(body => ({
      offset: BigInt(nextOffset - 1),
      payload: new TextEncoder().encode(encodeRecord({writer, sequence: 1, body})),
    }));
    const logReadAgeMs = BigInt(Math.max(0, Math.round(getNowMs() - this.confirmedAtMs)));
    return {records, nextOffset: BigInt(nextOffset), logReadAgeMs};
  }

  /** Starts reading the stream and publishing snapshots. */
  start(): void {
    this.follower.start();
    this.publisher.start();
    this.loop ??= this.run();
  }

  /** Stops; resolves once all loops and calls have ended. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all([this.follower.stop(), this.publisher.stop(), this.loop, this.adopting]);
  }

  /**
   * Records the result of a probe. If the peer has a newer revision, requests it from there; otherwise the peer's last
   * read of the log confirms the revision in force here.
   * @param result - Result of the probe; `isAnswered` is false if it failed.
   * @param member - The probed peer.
   */
  recordProbeResult(result: PeerProbeResult, member: Member): void {
    this.probeResults.delete(result.instanceId);
    this.probeResults.set(result.instanceId, result);
    this.dropOldestProbeResult();
    if (!result.isAnswered) return;
    if (result.configurationRevision > this.fold.getRevision()) {
      this.adopting ??= this.adoptFromPeer(member, result).finally(
        () => (this.adopting = undefined),
      );
    } else {
      this.confirmRevision(result.logReadAtMs);
    }
  }

  /** Returns whether this entry's configuration is current enough to accept new requests. */
  getCurrency(): ConfigurationCurrencyDecision {
    const {blackboard, getNowMs} = this.options;
    const {members} = blackboard.getSection('peers');
    const memberIds = new Set(members.map(({instanceId}) => instanceId));
    const view = {
      revision: this.fold.getRevision(),
      confirmedAtMs: this.confirmedAtMs,
      staleConfigurationGraceMs:
        this.fold.getConfiguration()?.staleConfigurationGraceMs ?? INITIAL_GRACE_MS,
      hasPeers: members.length > 1,
      probeResults: [...this.probeResults.values()].filter(({instanceId}) =>
        memberIds.has(instanceId),
      ),
    };
    return decideConfigurationCurrency(view, getNowMs());
  }

  private async run(): Promise<void> {
    const {sleep = systemSleep} = this.options;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const readAtMs = this.follower.getCaughtUpAtMs();
      if (readAtMs !== undefined && this.fold.isComplete()) this.confirmRevision(readAtMs);
      await sleep(CONFIRMATION_INTERVAL_MS, signal);
    }
  }

  private dropOldestProbeResult(): void {
    if (this.probeResults.size <= MAX_PROBE_RESULTS) return;
    for (const instanceId of this.probeResults.keys()) {
      this.probeResults.delete(instanceId);
      return;
    }
  }

  private async adoptFromPeer(member: Member, result: PeerProbeResult): Promise<void> {
    const fromOffset = BigInt(this.follower.getNextOffset());
    try {
      const calls = this.options.client.getCalls(member);
      const {records} = await calls.readLog({stream: STREAM, fromOffset, maxRecords: 1});
      for (const {payload} of records) this.adoptSnapshot(new TextDecoder().decode(payload));
    } catch {
      return;
    }
    if (result.configurationRevision <= this.fold.getRevision())
      this.confirmRevision(result.logReadAtMs);
  }

  private adoptSnapshot(payload: string): void {
    const {body} = decodeRecord(payload);
    if (body.kind !== 'configuration-snapshot') return;
    const nextOffset = this.follower.getNextOffset();
    const isNewer = body.coversOffset >= nextOffset;
    const closesGap = !this.fold.isComplete() && body.coversOffset === nextOffset - 1;
    if (!isNewer && !closesGap) return;
    this.fold.restoreSnapshot(body);
    this.follower.skipTo(body.coversOffset + 1);
    this.writeSection();
  }

  private isCaughtUp(): boolean {
    const readAtMs = this.follower.getCaughtUpAtMs();
    return readAtMs !== undefined && this.options.getNowMs() - readAtMs <= MAX_CAUGHT_UP_AGE_MS;
  }

  private confirmRevision(atMs: number): void {
    if (atMs <= this.confirmedAtMs) return;
    this.confirmedAtMs = atMs;
    this.writeSection();
  }

  private writeSection(): void {
    const {blackboard} = this.options;
    const current = blackboard.getSection('configuration');
    const revision = this.fold.getRevision();
    const {confirmedAtMs} = this;
    const configuration = this.fold.getConfiguration();
    if (revision < current.revision) return;
    const isSame = revision === current.revision && confirmedAtMs === current.confirmedAtMs;
    if (!isSame) blackboard.setSection('configuration', {revision, configuration, confirmedAtMs});
  }
}
