/** Computes the configuration in force from the records of the configuration stream. */
import type {Configuration} from '../configuration/index.js';
import type {LogBody, LogBodyOf, PlacedRecord} from '../records/index.js';
import type {SnapshotFold} from './Fold.js';

/** Result of applying a published configuration. */
export interface ConfigurationRecordResult {
  readonly isAccepted: boolean;
  /** Revision in force after the record. */
  readonly revision: number;
  /** Publisher of the revision in force, so that a publisher that lost a race can name the winner. */
  readonly publishedBy: string;
}

/**
 * Accepts a configuration only if `replacesRevision` is the revision in force (compare-and-set), so revisions only
 * grow. A duplicate append names a revision that is no longer in force and is rejected, so duplicates need no filter.
 * One snapshot record carries the whole state.
 */
export class ConfigurationFold implements SnapshotFold {
  private isStateComplete = true;
  private revision = 0;
  private configuration: Configuration | undefined;
  private publishedBy = '';
  private lastResult: ConfigurationRecordResult | undefined;

  applyRecord(placed: PlacedRecord): void {
    this.lastResult = undefined;
    const {body} = placed.record;
    if (body.kind === 'configuration') this.applyConfiguration(body);
    if (body.kind === 'configuration-snapshot') this.applySnapshot(body, placed.offset);
  }

  markIncomplete(): void {
    this.isStateComplete = false;
  }

  isComplete(): boolean {
    return this.isStateComplete;
  }

  createSnapshot(coversOffset: number): readonly LogBody[] {
    const {revision, configuration, publishedBy} = this;
    if (!configuration) return [];
    return [{kind: 'configuration-snapshot', coversOffset, revision, configuration, publishedBy}];
  }

  /**
   * Adopts the state of a daemon that has read further, and marks this state complete. If the snapshot's revision isn't
   * higher than the one in force, the configuration in force stays.
   */
  restoreSnapshot(snapshot: LogBodyOf<'configuration-snapshot'>): void {
    this.isStateComplete = true;
    if (snapshot.revision <= this.revision) return;
    this.revision = snapshot.revision;
    this.configuration = snapshot.configuration;
    this.publishedBy = snapshot.publishedBy ?? '';
  }

  /** Returns the revision in force; 0 before the first. */
  getRevision(): number {
    return this.revision;
  }

  /** Returns the configuration in force; undefined before the first. */
  getConfiguration(): Configuration | undefined {
    return this.configuration;
  }

  /** Returns the result of the last applied record; undefined if that record was not of kind `configuration`. */
  getLastResult(): ConfigurationRecordResult | undefined {
    return this.lastResult;
  }

  private applyConfiguration(body: LogBodyOf<'configuration'>): void {
    const isAccepted = this.isStateComplete && body.replacesRevision === this.revision;
    if (isAccepted) {
      this.revision += 1;
      this.configuration = body.configuration;
      this.publishedBy = body.publishedBy;
    }
    this.lastResult = {isAccepted, revision: this.revision, publishedBy: this.publishedBy};
  }

  /**
   * Only a reader that missed records needs a snapshot. It may use one only if no record lies between the snapshot and
   * the last record that it covers.
   */
  private applySnapshot(body: LogBodyOf<'configuration-snapshot'>, offset: number): void {
    if (this.isStateComplete || body.coversOffset !== offset - 1) return;
    this.restoreSnapshot(body);
  }
}
