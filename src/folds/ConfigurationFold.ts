/** The configuration in force, as the configuration stream gives it. */
import type {Configuration} from '../configuration/index.js';
import type {LogBody, LogBodyOf, PlacedRecord} from '../records/index.js';
import type {SnapshotFold} from './Fold.js';

/** Whether a published configuration was accepted. */
export interface ConfigurationVerdict {
  readonly isAccepted: boolean;
  /** Revision in force after the record. */
  readonly revision: number;
  /** Who published the revision in force, for the one who lost a race. */
  readonly publishedBy: string;
}

/**
 * Accepts a configuration where it replaces the revision in force; revisions only grow. A repeated append replaces a
 * revision that is no longer in force, so repeats need no filter, and a snapshot carries the whole state.
 */
export class ConfigurationFold implements SnapshotFold {
  private isWhole = true;
  private revision = 0;
  private configuration: Configuration | undefined;
  private publishedBy = '';
  private lastVerdict: ConfigurationVerdict | undefined;

  applyRecord(placed: PlacedRecord): void {
    this.lastVerdict = undefined;
    const {body} = placed.record;
    if (body.kind === 'configuration') this.applyConfiguration(body);
    if (body.kind === 'configuration-snapshot') this.applySnapshot(body, placed.offset);
  }

  markIncomplete(): void {
    this.isWhole = false;
  }

  isComplete(): boolean {
    return this.isWhole;
  }

  createSnapshot(coversOffset: number): readonly LogBody[] {
    const {revision, configuration, publishedBy} = this;
    if (!configuration) return [];
    return [{kind: 'configuration-snapshot', coversOffset, revision, configuration, publishedBy}];
  }

  /**
   * Takes over the state of a daemon that has read further; a lower revision than this one's is left.
   * @param snapshot - The other's state.
   */
  restoreSnapshot(snapshot: LogBodyOf<'configuration-snapshot'>): void {
    this.isWhole = true;
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

  /** Returns the verdict on the record applied last; undefined where it was no configuration or a repeat. */
  getLastVerdict(): ConfigurationVerdict | undefined {
    return this.lastVerdict;
  }

  private applyConfiguration(body: LogBodyOf<'configuration'>): void {
    const isAccepted = this.isWhole && body.replacesRevision === this.revision;
    if (isAccepted) {
      this.revision += 1;
      this.configuration = body.configuration;
      this.publishedBy = body.publishedBy;
    }
    this.lastVerdict = {isAccepted, revision: this.revision, publishedBy: this.publishedBy};
  }

  /** Only a reader that missed records needs a snapshot, and only one with no record after what it covers is sure. */
  private applySnapshot(body: LogBodyOf<'configuration-snapshot'>, offset: number): void {
    if (this.isWhole || body.coversOffset !== offset - 1) return;
    this.restoreSnapshot(body);
  }
}
