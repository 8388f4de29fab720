/** The open completion runs of an entry. */
import type {CompletionRun} from './CompletionRun.js';

/** Checks all runs at intervals, so that those at draining backend servers move to other servers. */
export class RunRegistry {
  private readonly runs = new Set<CompletionRun>();
  private timer: NodeJS.Timeout | undefined;

  /** Starts the periodic checks; does nothing if they are already running. */
  start(intervalMs: number): void {
    this.timer ??= setInterval(() => this.checkDrains(), intervalMs);
  }

  /** Stops the periodic checks. */
  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Adds a run, so that it is checked until it is removed. */
  addRun(run: CompletionRun): void {
    this.runs.add(run);
  }

  /** Removes an ended run. */
  removeRun(run: CompletionRun): void {
    this.runs.delete(run);
  }

  /** Returns a copy of the list of open runs. */
  getRuns(): readonly CompletionRun[] {
    return [...this.runs];
  }

  /** Checks all runs now. */
  checkDrains(): void {
    for (const run of this.runs) run.checkDrain();
  }
}
