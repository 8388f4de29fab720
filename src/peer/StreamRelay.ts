/** Relays the state of a stream between entries, so that an entry that can't reach the log gets it from a peer. */
import type {Blackboard, Member} from '../blackboard/index.js';
import type {RelayedFold} from '../folds/index.js';
import {systemSleep, type Sleep, type StreamFollower} from '../log/index.js';
import {decodeRecord, encodeRecord, type LogStream} from '../records/index.js';
import type {ReadLogRequest} from './generated/buckthorn/peer/v1/peer_pb.js';
import type {PeerClient} from './PeerClient.js';
import type {PeerHandlers} from './PeerServer.js';

/** Options of a `StreamRelay`. */
export interface StreamRelayOptions {
  readonly stream: LogStream;
  readonly follower: StreamFollower;
  readonly fold: RelayedFold;
  readonly client: PeerClient;
  readonly blackboard: Blackboard;
  readonly ownInstanceId: string;
  /** Id of this process; the writer named in snapshots for peers. */
  readonly writer: string;
  /** Returns the time in milliseconds; must be the clock that `follower` uses. */
  readonly getNowMs: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Called after the fold's state has been replaced by a peer's. */
  readonly onAdopted: () => void;
  /** Replaces the system timer in tests. */
  readonly sleep?: Sleep;
}

/** Serves `ReadLog` calls for one stream. */
export interface ReadLogSource {
  readonly stream: LogStream;
  handleReadLog(request: ReadLogRequest): ReadLogResult;
}

/** Response to `ReadLog`: a snapshot of the stream's state if the caller has read less, otherwise no records. */
export interface ReadLogResult {
  readonly records: readonly {readonly offset: bigint; readonly payload: Uint8Array}[];
  /** Offset up to which this daemon has read the stream; that record excluded. */
  readonly nextOffset: bigint;
  /** Time since this daemon's state was last known to be up to date. */
  readonly logReadAgeMs: bigint;
}

/** If the end of the log was last read longer ago than this, the state is requested from peers. */
const MAX_LOG_READ_AGE_MS = 2_500;
const CHECK_INTERVAL_MS = 500;
/** Reported age if the log has never been read up to its end. */
const UNREAD_LOG_AGE_MS = 2 ** 40;

/**
 * Returns a `ReadLog` handler that selects the source by stream; an unknown stream gets an empty response.
 * @param sources - One source per stream.
 */
export function createReadLogHandler(sources: readonly ReadLogSource[]): PeerHandlers {
  return {
    readLog: request => {
      const source = sources.find(({stream}) => stream === request.stream);
      const {records = [], nextOffset = 0n, logReadAgeMs} = source?.handleReadLog(request) ?? {};
      return {records: [...records], nextOffset, logReadAgeMs};
    },
  };
}

/** Requests the state from random peers while this daemon can't read the log, and serves such requests of peers. */
export class StreamRelay implements ReadLogSource {
  readonly stream: LogStream;
  private readonly options: StreamRelayOptions;
  private readonly stopping = new AbortController();
  private loop: Promise<void> | undefined;

  constructor(options: StreamRelayOptions) {
    this.options = options;
    this.stream = options.stream;
  }

  /** Starts the loop that checks the age of the last read of the log. */
  start(): void {
    this.loop ??= this.run();
  }

  /** Stops; resolves once the last call to a peer has ended. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  handleReadLog({fromOffset}: ReadLogRequest): ReadLogResult {
    const {fold, follower, writer} = this.options;
    const nextOffset = follower.getNextOffset();
    const includesSnapshot = fold.isComplete() && Number(fromOffset) < nextOffset;
    const bodies = includesSnapshot ? fold.createSnapshot(nextOffset - 1) : [];
    const records = bodies.map(body => ({
      offset: BigInt(nextOffset - 1),
      payload: new TextEncoder().encode(encodeRecord({writer, sequence: 1, body})),
    }));
    const ageMs = Math.round(Math.min(this.getReadAgeMs(), UNREAD_LOG_AGE_MS));
    return {records, nextOffset: BigInt(nextOffset), logReadAgeMs: BigInt(Math.max(0, ageMs))};
  }

  private async run(): Promise<void> {
    const {sleep = systemSleep} = this.options;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await sleep(CHECK_INTERVAL_MS, signal);
      if (!signal.aborted && this.getReadAgeMs() > MAX_LOG_READ_AGE_MS)
        await this.requestFromPeer();
    }
  }

  private async requestFromPeer(): Promise<void> {
    const {client, follower, stream} = this.options;
    const peer = this.choosePeer();
    if (!peer) return;
    const fromOffset = BigInt(follower.getNextOffset());
    try {
      const {records} = await client.getCalls(peer).readLog({stream, fromOffset, maxRecords: 1});
      for (const {offset, payload} of records) this.adoptSnapshot(Number(offset), payload);
    } catch {
      return;
    }
  }

  /** The snapshot isn't a record of the stream, so it replaces the fold's state and isn't applied as a record. */
  private adoptSnapshot(coversOffset: number, payload: Uint8Array): void {
    const {fold, follower, onAdopted} = this.options;
    if (coversOffset < follower.getNextOffset()) return;
    fold.restoreSnapshot(decodeRecord(new TextDecoder().decode(payload)).body);
    follower.skipTo(coversOffset + 1);
    onAdopted();
  }

  private choosePeer(): Member | undefined {
    const {blackboard, ownInstanceId, random} = this.options;
    const peers = blackboard
      .getSection('peers')
      .members.filter(({instanceId, state}) => instanceId !== ownInstanceId && state !== 'dead');
    return peers[Math.floor(random() * peers.length)];
  }

  private getReadAgeMs(): number {
    const readAtMs = this.options.follower.getCaughtUpAtMs();
    return readAtMs === undefined ? Infinity : this.options.getNowMs() - readAtMs;
  }
}
