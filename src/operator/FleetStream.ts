/** Reads moves and failure domains from the fleet stream, and appends operators' orders to it. */
import type {FailureDomainState, FailureDomainStatus, Move} from '../blackboard/index.js';
import {ServingError} from '../errors/index.js';
import {FleetFold, type FleetRejection, type FleetRecordResult} from '../folds/index.js';
import type {LogBodyOf} from '../records/index.js';
import {StreamSession, type SessionOptions} from './StreamSession.js';

/** A version move that an operator requests. */
export type MoveRequest = Omit<LogBodyOf<'move-request'>, 'kind'>;

const REJECTION_TEXTS: Readonly<Partial<Record<FleetRejection, string>>> = {
  'move-under-way': 'another move of the service is under way; wait for it or abort it',
  'move-id-used': 'a move with this id has already been requested',
  'move-to-same-version': 'the old and the new version are the same',
  'deadline-before-request': 'the deadline has passed',
  'unknown-move': 'there is no such move',
  'move-ended': 'the move has ended',
  'not-newest-revision':
    'another operator changed the failure domain first; check its status and try again',
  'incomplete-history': 'the log has dropped old records and has no snapshot that covers them yet',
};

/**
 * Follows the fleet stream from `open` to `close`, and appends orders to it. Orders are appended one at a time;
 * concurrent calls queue.
 */
export class FleetStream {
  private readonly fold = new FleetFold();
  private readonly session: StreamSession<FleetRecordResult>;

  constructor(options: SessionOptions) {
    this.session = new StreamSession({
      ...options,
      stream: 'fleet',
      fold: this.fold,
      getLastResult: () => this.fold.getLastResult(),
      onGap: () => this.fold.markIncomplete(),
    });
  }

  /**
   * Starts to follow the stream and waits until all of its records have been read.
   * @throws ServingError of kind `log-unavailable` if the log does not respond within `timeoutMs`.
   */
  async open(): Promise<void> {
    await this.session.open();
  }

  /** Stops following the stream. */
  async close(): Promise<void> {
    await this.session.close();
  }

  /** Returns the newest move of each service, then earlier completed ones, according to the records read so far. */
  getMoves(): readonly Move[] {
    return this.fold.getMoves();
  }

  /** Returns the failure domains that have ever had an order; all others are in service, at revision 0. */
  getFailureDomains(): readonly FailureDomainStatus[] {
    return this.fold.getFailureDomains();
  }

  /** Returns the id of the fleet daemon that holds the lease; undefined if none does. */
  getLeaseHolder(): string | undefined {
    return this.fold.getLease().holder;
  }

  /**
   * Requests a version move; the fleet daemon that holds the lease carries it out.
   * @returns Offset of the request's record.
   * @throws ServingError of kind `conflict` that names the reason if the request is rejected, or `log-unavailable`.
   */
  async requestMove(request: MoveRequest): Promise<number> {
    return this.proposeOrThrow({kind: 'move-request', ...request});
  }

  /**
   * Aborts a move; all new requests go to the old version again.
   * @returns Offset of the order's record.
   * @throws ServingError of kind `conflict` if there is no such move or it has ended, or `log-unavailable`.
   */
  async abortMove(order: Omit<LogBodyOf<'move-abort'>, 'kind'>): Promise<number> {
    return this.proposeOrThrow({kind: 'move-abort', ...order});
  }

  /**
   * Sets the state of a failure domain with compare-and-set against its newest order that has been read.
   * @param requestedBy - Name of the operator.
   * @param requestedAtMs - Current Unix time in milliseconds.
   * @returns Offset of the order's record.
   * @throws ServingError of kind `conflict` if another operator changed the domain first, or `log-unavailable`.
   */
  async orderFailureDomain(
    failureDomain: string,
    state: FailureDomainState,
    requestedBy: string,
    requestedAtMs: number,
  ): Promise<number> {
    const status = this.getFailureDomains().find(({name}) => name === failureDomain);
    const replacesRevision = status?.revision ?? 0;
    return this.proposeOrThrow({
      kind: 'domain-order',
      failureDomain,
      state,
      replacesRevision,
      requestedBy,
      requestedAtMs,
    });
  }

  private async proposeOrThrow(
    body: LogBodyOf<'move-request' | 'move-abort' | 'domain-order'>,
  ): Promise<number> {
    const {offset, result} = await this.session.propose(body);
    if (result.isAccepted) return offset;
    const {rejection = 'repeat'} = result;
    throw new ServingError(
      `refused at offset ${offset}: ${REJECTION_TEXTS[rejection] ?? rejection}`,
      {kind: 'conflict'},
    );
  }
}
