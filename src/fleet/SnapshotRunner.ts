/** Republishes the state of the fleet stream as a snapshot before the log's retention deletes older records. */
import type {Metrics} from '../metrics/index.js';
import type {FleetStream} from './FleetStream.js';
import type {LeaseManager} from './LeaseManager.js';

/** Options of a `SnapshotRunner`, which publishes snapshots of the fleet stream. */
export interface SnapshotRunnerOptions {
  readonly stream: FleetStream;
  readonly lease: LeaseManager;
  readonly metrics: Metrics;
  /** Time between two snapshots; must be well below the log's retention. */
  readonly intervalMs: number;
}

/** A snapshot is rejected if another record precedes it; it is retried after this fraction of the interval. */
const RETRY_INTERVAL_FRACTION = 1 / 60;

/** Appends a snapshot at regular intervals while this daemon holds the lease. */
export class SnapshotRunner {
  private readonly options: SnapshotRunnerOptions;
  private nextAtMs = 0;

  constructor(options: SnapshotRunnerOptions) {
    this.options = options;
  }

  /**
   * Appends a snapshot if one is due and this daemon holds the lease.
   * @param nowMs - Current Unix time in milliseconds.
   */
  async run(nowMs: number): Promise<void> {
    const {stream, lease, metrics, intervalMs} = this.options;
    if (nowMs < this.nextAtMs || lease.getOrderPermission(true) !== 'allowed') return;
    this.nextAtMs = nowMs + intervalMs * RETRY_INTERVAL_FRACTION;
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
