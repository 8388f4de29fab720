/** Publishes the state of the fleet stream again before retention passes. */
import type {Metrics} from '../metrics/index.js';
import type {FleetStream} from './FleetStream.js';
import type {LeaseKeeper} from './LeaseKeeper.js';

/** Options of a `SnapshotRunner`. */
export interface SnapshotRunnerOptions {
  readonly stream: FleetStream;
  readonly lease: LeaseKeeper;
  readonly metrics: Metrics;
  /** Time between two snapshots; well below the log's retention. */
  readonly intervalMs: number;
}

/** A snapshot that another record overtook doesn't hold and is tried again after this part of the interval. */
const RETRY_PART = 1 / 60;

/** Writes a snapshot as the holder, at intervals. */
export class SnapshotRunner {
  private readonly options: SnapshotRunnerOptions;
  private nextAtMs = 0;

  constructor(options: SnapshotRunnerOptions) {
    this.options = options;
  }

  /**
   * Writes a snapshot where one is due.
   * @param nowMs - Present time by the wall clock.
   */
  async run(nowMs: number): Promise<void> {
    const {stream, lease, metrics, intervalMs} = this.options;
    if (nowMs < this.nextAtMs || lease.getOrderPermission(true) !== 'allowed') return;
    this.nextAtMs = nowMs + intervalMs * RETRY_PART;
    const coversOffset = stream.getNextOffset() - 1;
    const state = stream.getFold().getSnapshotState();
    try {
      const {verdict} = await stream.propose('orders', {
        kind: 'fleet-snapshot',
        coversOffset,
        state,
      });
      metrics.addCount('fleet.snapshot', {verdict: verdict.rejection ?? 'accepted'});
      if (verdict.isAccepted) this.nextAtMs = nowMs + intervalMs;
    } catch {
      metrics.addCount('fleet.snapshot', {verdict: 'not-read-back'});
    }
  }
}
