/** The fleet stream as an operator's client uses it: moves and failure domains, read and ordered. */
import type {FailureDomainState, FailureDomainStatus, Move} from '../blackboard/index.js';
import {ServingError} from '../errors/index.js';
import {FleetFold, type FleetRejection, type FleetVerdict} from '../folds/index.js';
import type {LogBodyOf} from '../records/index.js';
import {StreamSession, type SessionOptions} from './StreamSession.js';

/** What an operator asks of a move. */
export type MoveRequest = Omit<LogBodyOf<'move-request'>, 'kind'>;

const REJECTION_TEXTS: Readonly<Partial<Record<FleetRejection, string>>> = {
  'move-under-way': 'another move of the service is under way; wait for it or abort it',
  'move-id-used': 'a move of this id has been asked for already',
  'move-to-same-version': 'the service has this version already',
  'deadline-before-request': 'the deadline has passed',
  'unknown-move': 'there is no such move',
  'move-ended': 'the move has ended',
  'not-newest-revision': 'another operator changed the failure domain first; look and try again',
  'incomplete-history': 'the log has dropped old records and holds no snapshot of them yet',
};

/** Follows the fleet stream; one at a time, writes orders on it. */
export class FleetStream {
  private readonly fold = new FleetFold();
  private readonly session: StreamSession<FleetVerdict>;

  constructor(options: SessionOptions) {
    this.session = new StreamSession({
      ...options,
      stream: 'fleet',
      fold: this.fold,
      getVerdict: () => this.fold.getLastVerdict(),
      onGap: () => this.fold.markIncomplete(),
    });
  }

  /**
   * Reads to the end of the stream.
   * @throws ServingError of kind `log-unavailable` where the log gives no answer in time.
   */
  async open(): Promise<void> {
    await this.session.open();
  }

  /** Ends the reading. */
  async close(): Promise<void> {
    await this.session.close();
  }

  /** Returns the moves under way and the last ended one of each service, as far as the stream was read. */
  getMoves(): readonly Move[] {
    return this.fold.getMoves();
  }

  /** Returns the failure domains that ever had an order. */
  getFailureDomains(): readonly FailureDomainStatus[] {
    return this.fold.getFailureDomains();
  }

  /** Returns who holds the fleet's lease; undefined where nobody does. */
  getLeaseHolder(): string | undefined {
    return this.fold.getLease().holder;
  }

  /**
   * Asks for a move.
   * @param request - The move.
   * @returns Offset of the request.
   * @throws ServingError of kind `conflict` saying why it doesn't hold, or `log-unavailable`.
   */
  async requestMove(request: MoveRequest): Promise<number> {
    return this.proposeOrThrow({kind: 'move-request', ...request});
  }

  /**
   * Aborts a move.
   * @param order - The move, and who aborts it when.
   * @returns Offset of the order.
   * @throws ServingError of kind `conflict` or `log-unavailable`.
   */
  async abortMove(order: Omit<LogBodyOf<'move-abort'>, 'kind'>): Promise<number> {
    return this.proposeOrThrow({kind: 'move-abort', ...order});
  }

  /**
   * Orders a failure domain out or back, over its newest order.
   * @param failureDomain - Name of the failure domain.
   * @param state - What it is to be.
   * @param requestedBy - Who orders it.
   * @param requestedAtMs - The present time.
   * @returns Offset of the order.
   * @throws ServingError of kind `conflict` or `log-unavailable`.
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
    const {offset, verdict} = await this.session.propose(body);
    if (verdict.isAccepted) return offset;
    const {rejection = 'repeat'} = verdict;
    throw new ServingError(
      `refused at offset ${offset}: ${REJECTION_TEXTS[rejection] ?? rejection}`,
      {kind: 'conflict'},
    );
  }
}
