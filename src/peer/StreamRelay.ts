/** Passes on between entries what was read of a stream, for an entry that is cut off from the log alone. */
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
  /** Incarnation of this process. */
  readonly writer: string;
  readonly getNowMs: () => number;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Called after the state was taken over from a peer. */
  readonly onAdopted: () => void;
  readonly sleep?: Sleep;
}

/** Something that answers `ReadLog` for one stream. */
export interface ReadLogSource {
  readonly stream: LogStream;
  answerReadLog(request: ReadLogRequest): ReadLogAnswer;
}

/** What a daemon has read of a stream: a snapshot record where the asker has read less. */
export interface ReadLogAnswer {
  readonly records: readonly {readonly offset: bigint; readonly payload: Uint8Array}[];
  readonly nextOffset: bigint;
  readonly logReadAgeMs: bigint;
}

/** Age of the last read of the log at which peers are asked. */
const ASK_AFTER_MS = 2_500;
const ASK_INTERVAL_MS = 500;
/** Stands for a log that was never read. */
const NEVER_READ_AGE_MS = 2 ** 40;

/**
 * Returns the handler of `ReadLog` over several streams.
 * @param sources - One for each stream.
 */
export function createReadLogHandler(sources: readonly ReadLogSource[]): PeerHandlers {
  return {
    readLog: request => {
      const source = sources.find(({stream}) => stream === request.stream);
      const {records = [], nextOffset = 0n, logReadAgeMs} = source?.answerReadLog(request) ?? {};
      return {records: [...records], nextOffset, logReadAgeMs};
    },
  };
}

/** Asks a random peer for its state while the log can't be read here, and answers such questions. */
export class StreamRelay implements ReadLogSource {
  readonly stream: LogStream;
  private readonly options: StreamRelayOptions;
  private readonly stopping = new AbortController();
  private loop: Promise<void> | undefined;

  constructor(options: StreamRelayOptions) {
    this.options = options;
    this.stream = options.stream;
  }

  /** Starts to watch how old the last read of the log is. */
  start(): void {
    this.loop ??= this.run();
  }

  /** Stops, and waits until no call is open. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  answerReadLog({fromOffset}: ReadLogRequest): ReadLogAnswer {
    const {fold, follower, writer} = this.options;
    const nextOffset = follower.getNextOffset();
    const isFurther = fold.isComplete() && Number(fromOffset) < nextOffset;
    const bodies = isFurther ? fold.createSnapshot(nextOffset - 1) : [];
    const records = bodies.map(body => ({
      offset: BigInt(nextOffset - 1),
      payload: new TextEncoder().encode(encodeRecord({writer, sequence: 1, body})),
    }));
    const ageMs = Math.round(Math.min(this.getReadAgeMs(), NEVER_READ_AGE_MS));
    return {records, nextOffset: BigInt(nextOffset), logReadAgeMs: BigInt(Math.max(0, ageMs))};
  }

  private async run(): Promise<void> {
    const {sleep = systemSleep} = this.options;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await sleep(ASK_INTERVAL_MS, signal);
      if (!signal.aborted && this.getReadAgeMs() > ASK_AFTER_MS) await this.askPeer();
    }
  }

  private async askPeer(): Promise<void> {
    const {client, follower, stream} = this.options;
    const peer = this.choosePeer();
    if (!peer) return;
    const fromOffset = BigInt(follower.getNextOffset());
    try {
      const {records} = await client.getCalls(peer).readLog({stream, fromOffset, maxRecords: 1});
      for (const {offset, payload} of records) this.adopt(Number(offset), payload);
    } catch {
      return;
    }
  }

  /** The snapshot stands in no log, so it is taken over as a state and not applied as a record of its writer. */
  private adopt(coversOffset: number, payload: Uint8Array): void {
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
