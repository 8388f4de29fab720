/** The configuration in force, as the configuration stream gives it. */
import type {Configuration} from '../configuration/index.js';
import type {LogBodyOf, PlacedRecord} from '../records/index.js';
import {RepeatFilter, type Fold} from './Fold.js';

/** Whether a published configuration was accepted. */
export interface ConfigurationVerdict {
  readonly isAccepted: boolean;
  /** Revision in force after the record. */
  readonly revision: number;
  /** Who published the revision in force, for the one who lost a race. */
  readonly publishedBy: string;
}

/** Accepts a configuration where it replaces the revision in force; revisions only grow. */
export class ConfigurationFold implements Fold {
  private readonly repeats = new RepeatFilter();
  private revision = 0;
  private configuration: Configuration | undefined;
  private publishedBy = '';
  private lastVerdict: ConfigurationVerdict | undefined;

  applyRecord(placed: PlacedRecord): void {
    this.lastVerdict = undefined;
    if (this.repeats.isRepeat(placed)) return;
    const {body} = placed.record;
    if (body.kind === 'configuration') this.applyConfiguration(body);
    if (body.kind === 'configuration-snapshot') this.applySnapshot(body);
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
    const isAccepted = body.replacesRevision === this.revision;
    if (isAccepted) {
      this.revision += 1;
      this.configuration = body.configuration;
      this.publishedBy = body.publishedBy;
    }
    this.lastVerdict = {isAccepted, revision: this.revision, publishedBy: this.publishedBy};
  }

  private applySnapshot(body: LogBodyOf<'configuration-snapshot'>): void {
    if (body.revision <= this.revision) return;
    this.revision = body.revision;
    this.configuration = body.configuration;
  }
}
