/** Keeps the `configuration` section: from the log, and from peers where the log can't be read. */
import type {Blackboard, Member} from '../blackboard/index.js';
import {
  decideConfigurationCurrency,
  type ConfigurationCurrencyVerdict,
  type PeerReading,
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
import {createReadLogHandler, type ReadLogAnswer, type ReadLogSource} from './StreamRelay.js';

/** Options of a `ConfigurationFollower`. */
export interface ConfigurationFollowerOptions {
  readonly log: LogAccess;
  readonly client: PeerClient;
  readonly blackboard: Blackboard;
  /** Incarnation of this process; unique among all that ever wrote to the log. */
  readonly writer: string;
  readonly getNowMs: () => number;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Longest time without a snapshot of the configuration; well below the log's retention. */
  readonly snapshotIntervalMs?: number;
  readonly sleep?: Sleep;
}

const STREAM = 'configuration';
const DEFAULT_SNAPSHOT_INTERVAL_MS = 600_000;
const WRITE_TIMEOUT_MS = 10_000;
/** Time between two looks at how far the log was read. */
const CONFIRM_INTERVAL_MS = 500;
/** Age up to which a read of the log's end counts as standing at its end. */
const LOG_READ_WINDOW_MS = 4_000;
/** Peers whose last probe is remembered. */
const MAX_READINGS = 256;
/** Grace before the first configuration names one. */
const INITIAL_GRACE_MS = 30_000;

/** Follows the configuration stream; a revision never goes down. */
export class ConfigurationFollower implements ReadLogSource {
  readonly stream = STREAM;
  private readonly options: ConfigurationFollowerOptions;
  private readonly fold = new ConfigurationFold();
  private readonly follower: StreamFollower;
  private readonly publisher: SnapshotPublisher;
  private readonly readings = new Map<string, PeerReading>();
  private readonly stopping = new AbortController();
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
      isCaughtUp: () => this.isLogRead(),
    });
  }

  /** Returns the handler with which peers learn what this daemon has read of the configuration. */
  getHandlers(): PeerHandlers {
    return createReadLogHandler([this]);
  }

  answerReadLog({fromOffset}: ReadLogRequest): ReadLogAnswer {
    const nextOffset = this.follower.getNextOffset();
    const isNewer = this.fold.isComplete() && Number(fromOffset) <= nextOffset;
    const bodies = isNewer ? this.fold.createSnapshot(nextOffset - 1) : [];
    const {writer, getNowMs} = this.options;
    const records = bodies.map(body => ({
      offset: BigInt(nextOffset - 1),
      payload: new TextEncoder().encode(encodeRecord({writer, sequence: 1, body})),
    }));
    const logReadAgeMs = BigInt(Math.max(0, Math.round(getNowMs() - this.confirmedAtMs)));
    return {records, nextOffset: BigInt(nextOffset), logReadAgeMs};
  }

  /** Starts to follow the stream. */
  start(): void {
    this.follower.start();
    this.publisher.start();
    this.loop ??= this.run();
  }

  /** Stops, and waits until nothing runs any more. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all([this.follower.stop(), this.publisher.stop(), this.loop, this.adopting]);
  }

  /**
   * Takes in what a probe showed of a peer; a peer that knows a newer revision is asked for it.
   * @param reading - What the probe showed.
   * @param member - The peer.
   */
  observePeer(reading: PeerReading, member: Member): void {
    this.readings.delete(reading.instanceId);
    this.readings.set(reading.instanceId, reading);
    this.dropOldestReading();
    if (!reading.isAnswered) return;
    if (reading.configurationRevision > this.fold.getRevision()) {
      this.adopting ??= this.adoptFrom(member, reading).finally(() => (this.adopting = undefined));
    } else {
      this.confirm(reading.logReadAtMs);
    }
  }

  /** Returns whether this entry may accept new work with the configuration that it knows. */
  getCurrency(): ConfigurationCurrencyVerdict {
    const {blackboard, getNowMs} = this.options;
    const {members} = blackboard.getSection('peers');
    const known = new Set(members.map(({instanceId}) => instanceId));
    const view = {
      revision: this.fold.getRevision(),
      confirmedAtMs: this.confirmedAtMs,
      staleConfigurationGraceMs:
        this.fold.getConfiguration()?.staleConfigurationGraceMs ?? INITIAL_GRACE_MS,
      hasPeers: members.length > 1,
      readings: [...this.readings.values()].filter(({instanceId}) => known.has(instanceId)),
    };
    return decideConfigurationCurrency(view, getNowMs());
  }

  private async run(): Promise<void> {
    const {sleep = systemSleep} = this.options;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const readAtMs = this.follower.getCaughtUpAtMs();
      if (readAtMs !== undefined && this.fold.isComplete()) this.confirm(readAtMs);
      await sleep(CONFIRM_INTERVAL_MS, signal);
    }
  }

  private dropOldestReading(): void {
    if (this.readings.size <= MAX_READINGS) return;
    for (const instanceId of this.readings.keys()) {
      this.readings.delete(instanceId);
      return;
    }
  }

  private async adoptFrom(member: Member, reading: PeerReading): Promise<void> {
    const fromOffset = BigInt(this.follower.getNextOffset());
    try {
      const calls = this.options.client.getCalls(member);
      const {records} = await calls.readLog({stream: STREAM, fromOffset, maxRecords: 1});
      for (const {payload} of records) this.adopt(new TextDecoder().decode(payload));
    } catch {
      return;
    }
    if (reading.configurationRevision <= this.fold.getRevision()) this.confirm(reading.logReadAtMs);
  }

  private adopt(payload: string): void {
    const {body} = decodeRecord(payload);
    if (body.kind !== 'configuration-snapshot') return;
    const nextOffset = this.follower.getNextOffset();
    const isFurther = body.coversOffset >= nextOffset;
    const isGapClosed = !this.fold.isComplete() && body.coversOffset === nextOffset - 1;
    if (!isFurther && !isGapClosed) return;
    this.fold.restoreSnapshot(body);
    this.follower.skipTo(body.coversOffset + 1);
    this.writeSection();
  }

  private isLogRead(): boolean {
    const readAtMs = this.follower.getCaughtUpAtMs();
    return readAtMs !== undefined && this.options.getNowMs() - readAtMs <= LOG_READ_WINDOW_MS;
  }

  private confirm(atMs: number): void {
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
