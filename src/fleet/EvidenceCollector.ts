/** Collects the entries' evidence about versions for the holder. */
import type {Instance, VersionEvidence} from '../blackboard/index.js';
import {
  EVIDENCE_KEPT_MS,
  EVIDENCE_WINDOW_MS,
  isWindowFinal,
  mergeEvidence,
} from '../controllers/moves/index.js';
import type {Metrics} from '../metrics/index.js';
import type {EvidenceClient} from '../infrastructure/index.js';

/** Options of an `EvidenceCollector`. */
export interface EvidenceCollectorOptions {
  readonly client: EvidenceClient;
  readonly metrics: Metrics;
}

interface EntryWindows {
  readonly windows: readonly VersionEvidence[];
  /** Windows that start before this instant have been taken over as final. */
  readonly finalToMs: number;
}

/** Keeps what entries reported; a new holder starts with what the entries still keep. */
export class EvidenceCollector {
  private readonly options: EvidenceCollectorOptions;
  private readonly openWindows = new Map<string, EntryWindows>();
  private finalEvidence: readonly VersionEvidence[] = [];

  constructor(options: EvidenceCollectorOptions) {
    this.options = options;
  }

  /**
   * Reads all entries; one that doesn't answer keeps what it reported last.
   * @param entries - Instances of entries.
   * @param nowMs - Present time by the wall clock.
   */
  async collect(entries: readonly Instance[], nowMs: number): Promise<void> {
    await Promise.all(entries.map(entry => this.collectFrom(entry, nowMs)));
    this.finalEvidence = mergeEvidence(this.finalEvidence, nowMs);
  }

  /**
   * Returns the evidence of all entries.
   * @param nowMs - Present time by the wall clock.
   */
  getEvidence(nowMs: number): readonly VersionEvidence[] {
    const open = [...this.openWindows.values()].flatMap(({windows}) => windows);
    return mergeEvidence([...this.finalEvidence, ...open], nowMs);
  }

  /** Forgets all, as a daemon does that is no longer the holder. */
  clear(): void {
    this.openWindows.clear();
    this.finalEvidence = [];
  }

  private async collectFrom(entry: Instance, nowMs: number): Promise<void> {
    const finalToMs = this.openWindows.get(entry.instanceId)?.finalToMs ?? 0;
    const oldestMs = nowMs - EVIDENCE_KEPT_MS + EVIDENCE_WINDOW_MS;
    try {
      const windows = await this.options.client.getEvidence(entry, Math.max(finalToMs, oldestMs));
      this.noteWindows(entry.instanceId, windows, finalToMs, nowMs);
    } catch {
      this.options.metrics.addCount('evidence.failed');
    }
  }

  private noteWindows(
    instanceId: string,
    windows: readonly VersionEvidence[],
    finalToMs: number,
    nowMs: number,
  ): void {
    const final = windows.filter(window => isWindowFinal(window, nowMs));
    const open = windows.filter(window => !isWindowFinal(window, nowMs));
    this.finalEvidence = [...this.finalEvidence, ...final];
    const newFinalToMs = Math.max(finalToMs, ...final.map(one => one.windowStartMs + 1));
    this.openWindows.set(instanceId, {windows: open, finalToMs: newFinalToMs});
  }
}
