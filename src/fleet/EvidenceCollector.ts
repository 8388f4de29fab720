/** Collects version evidence (error counts and latencies per time window) from the entries for the lease holder. */
import type {Instance, VersionEvidence} from '../blackboard/index.js';
import {
  EVIDENCE_RETENTION_MS,
  EVIDENCE_WINDOW_MS,
  isWindowFinal,
  mergeEvidence,
} from '../controllers/moves/index.js';
import type {Metrics} from '../metrics/index.js';
import type {EvidenceClient} from '../infrastructure/index.js';

/** Collaborators of an `EvidenceCollector`. */
export interface EvidenceCollectorOptions {
  readonly client: EvidenceClient;
  readonly metrics: Metrics;
}

interface EntryWindows {
  /** Windows that can still change, as read last. */
  readonly windows: readonly VersionEvidence[];
  /** Unix time in milliseconds; windows that start earlier are final and have been stored already. */
  readonly finalUntilMs: number;
}

/** Caches the evidence that entries report. A new lease holder reads the windows that the entries still retain. */
export class EvidenceCollector {
  private readonly options: EvidenceCollectorOptions;
  private readonly windowsByEntry = new Map<string, EntryWindows>();
  private finalEvidence: readonly VersionEvidence[] = [];

  constructor(options: EvidenceCollectorOptions) {
    this.options = options;
  }

  /**
   * Reads the evidence of all entries. If an entry doesn't respond, its previous windows are kept.
   * @param entries - Instances that run an entry.
   * @param nowMs - Current Unix time in milliseconds.
   */
  async collect(entries: readonly Instance[], nowMs: number): Promise<void> {
    await Promise.all(entries.map(entry => this.collectFrom(entry, nowMs)));
    this.finalEvidence = mergeEvidence(this.finalEvidence, nowMs);
  }

  /**
   * Returns the merged evidence of all entries, both final and incomplete windows.
   * @param nowMs - Current Unix time in milliseconds.
   */
  getEvidence(nowMs: number): readonly VersionEvidence[] {
    const incompleteWindows = [...this.windowsByEntry.values()].flatMap(({windows}) => windows);
    return mergeEvidence([...this.finalEvidence, ...incompleteWindows], nowMs);
  }

  /** Discards all evidence; called when this daemon gains or loses the lease. */
  clear(): void {
    this.windowsByEntry.clear();
    this.finalEvidence = [];
  }

  private async collectFrom(entry: Instance, nowMs: number): Promise<void> {
    const finalUntilMs = this.windowsByEntry.get(entry.instanceId)?.finalUntilMs ?? 0;
    const oldestMs = nowMs - EVIDENCE_RETENTION_MS + EVIDENCE_WINDOW_MS;
    try {
      const windows = await this.options.client.getEvidence(
        entry,
        Math.max(finalUntilMs, oldestMs),
      );
      this.recordWindows(entry.instanceId, windows, finalUntilMs, nowMs);
    } catch {
      this.options.metrics.addCount('evidence.failed');
    }
  }

  private recordWindows(
    instanceId: string,
    windows: readonly VersionEvidence[],
    finalUntilMs: number,
    nowMs: number,
  ): void {
    const finalWindows = windows.filter(window => isWindowFinal(window, nowMs));
    const incompleteWindows = windows.filter(window => !isWindowFinal(window, nowMs));
    this.finalEvidence = [...this.finalEvidence, ...finalWindows];
    const newFinalUntilMs = Math.max(
      finalUntilMs,
      ...finalWindows.map(one => one.windowStartMs + 1),
    );
    this.windowsByEntry.set(instanceId, {
      windows: incompleteWindows,
      finalUntilMs: newFinalUntilMs,
    });
  }
}
