/** The completions that run at this entry. */
import type {CompletionRun} from './CompletionRun.js';

/** Looks at all runs at intervals, so that those on leaving backend servers move. */
export class RunRegistry {
  private readonly runs = new Set<CompletionRun>();
  private timer: NodeJS.Timeout | undefined;

  /**
   * Starts to look at intervals.
   * @param intervalMs - Time between looks.
   */
  start(intervalMs: number): void {
    this.timer ??= setInterval(() => this.checkDrains(), intervalMs);
  }

  /** Stops looking. */
  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Adds a run that starts. */
  addRun(run: CompletionRun): void {
    this.runs.add(run);
  }

  /** Removes a run that ended. */
  removeRun(run: CompletionRun): void {
    this.runs.delete(run);
  }

  /** Returns the runs that are open. */
  getRuns(): readonly CompletionRun[] {
    return [...this.runs];
  }

  /** Looks at all runs now. */
  checkDrains(): void {
    for (const run of this.runs) run.checkDrain();
  }
}
