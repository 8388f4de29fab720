/** What a backend server ran, when and for whom; the verdicts of tests are read from it. */
import {createHash} from 'node:crypto';
import {closeSync, openSync, writeSync} from 'node:fs';

/** How a run ended. */
export type RunEnd = 'running' | 'finished' | 'cancelled' | 'failed' | 'crashed';

/** One execution of a request by a backend server. */
export interface RunEntry {
  /** Number of the run at its backend server's process. */
  readonly runNumber: number;
  readonly instanceId: string;
  readonly service: string;
  readonly version: string;
  readonly failureDomain: string;
  readonly requestId: string;
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  /** Hash of the body as it arrived. */
  readonly bodySha256: string;
  /** Body, where it is short. */
  readonly body?: string;
  /** Requests that were running or queued here just after this one arrived. */
  readonly openRequests: number;
  readonly wasCold: boolean;
  readonly startedAtMs: number;
  firstTokenAtMs?: number;
  endedAtMs?: number;
  promptTokens: number;
  cachedTokens: number;
  generatedTokens: number;
  end: RunEnd;
}

const MAX_ENTRIES = 200_000;
const MAX_KEPT_BODY_LENGTH = 512;

/** Returns a hash and, where it is short, the body itself. */
export function describeBody(body: string): Pick<RunEntry, 'bodySha256' | 'body'> {
  const bodySha256 = createHash('sha256').update(body).digest('hex');
  return body.length <= MAX_KEPT_BODY_LENGTH ? {bodySha256, body} : {bodySha256};
}

/** Keeps the last runs in order of their start, and writes them to a file that outlives the process. */
export class RunLedger {
  private readonly entries: RunEntry[] = [];
  private readonly file: number | undefined;
  private nextRunNumber = 1;

  /**
   * @param path - File that gets a line of JSON at the start and at the end of each run; absent for none.
   */
  constructor(path?: string) {
    this.file = path === undefined ? undefined : openSync(path, 'a');
  }

  /** Adds a run that starts. */
  addEntry(fields: Omit<RunEntry, 'runNumber'>): RunEntry {
    if (this.entries.length >= MAX_ENTRIES) this.entries.shift();
    const entry = {runNumber: this.nextRunNumber++, ...fields};
    this.entries.push(entry);
    this.write(entry);
    return entry;
  }

  /** Ends a run. */
  endEntry(entry: RunEntry, end: RunEnd, nowMs: number): void {
    entry.end = end;
    entry.endedAtMs = nowMs;
    this.write(entry);
  }

  /** Ends all runs that are still running. */
  endAll(end: RunEnd, nowMs: number): void {
    for (const entry of this.entries) {
      if (entry.end === 'running') this.endEntry(entry, end, nowMs);
    }
  }

  /** Returns the runs. */
  getEntries(): readonly RunEntry[] {
    return this.entries;
  }

  /** Closes the file. */
  close(): void {
    if (this.file !== undefined) closeSync(this.file);
  }

  private write(entry: RunEntry): void {
    if (this.file !== undefined) writeSync(this.file, `${JSON.stringify(entry)}\n`);
  }
}
