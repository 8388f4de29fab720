/** Record of every request that a backend server ran; tests and scenarios check their expectations against it. */
import {createHash} from 'node:crypto';
import {closeSync, openSync, writeSync} from 'node:fs';

/** State of a run: `running`, or how it ended. */
export type RunEnd = 'running' | 'finished' | 'cancelled' | 'failed' | 'crashed';

/** One execution of a request by a backend server. */
export interface RunEntry {
  /** Sequence number of the run in its process, from 1. */
  readonly runNumber: number;
  readonly instanceId: string;
  readonly service: string;
  readonly version: string;
  readonly failureDomain: string;
  readonly requestId: string;
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  /** SHA-256 of the received body, in hexadecimal. */
  readonly bodySha256: string;
  /** The body, if it has at most 512 characters. */
  readonly body?: string;
  /** Requests running or queued at this backend server, including this one, when it arrived. */
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
const MAX_STORED_BODY_LENGTH = 512;

/** Returns the ledger fields of a request body: its hash and, if it is short, the body itself. */
export function describeBody(body: string): Pick<RunEntry, 'bodySha256' | 'body'> {
  const bodySha256 = createHash('sha256').update(body).digest('hex');
  return body.length <= MAX_STORED_BODY_LENGTH ? {bodySha256, body} : {bodySha256};
}

/** Keeps the last `MAX_ENTRIES` runs in order of their start, and appends all of them to a file that outlives the process. */
export class RunLedger {
  private readonly entries: RunEntry[] = [];
  private readonly file: number | undefined;
  private nextRunNumber = 1;

  /**
   * @param path - File that receives a line of JSON at the start and at the end of each run; absent for none.
   */
  constructor(path?: string) {
    this.file = path === undefined ? undefined : openSync(path, 'a');
  }

  /** Adds a run that starts, and assigns its run number. */
  addEntry(fields: Omit<RunEntry, 'runNumber'>): RunEntry {
    if (this.entries.length >= MAX_ENTRIES) this.entries.shift();
    const entry = {runNumber: this.nextRunNumber++, ...fields};
    this.entries.push(entry);
    this.write(entry);
    return entry;
  }

  /** Records the end of a run. */
  endEntry(entry: RunEntry, end: RunEnd, nowMs: number): void {
    entry.end = end;
    entry.endedAtMs = nowMs;
    this.write(entry);
  }

  /** Records the same end for all runs that are still running. */
  endAll(end: RunEnd, nowMs: number): void {
    for (const entry of this.entries) {
      if (entry.end === 'running') this.endEntry(entry, end, nowMs);
    }
  }

  /** Returns the runs kept in memory, oldest first. */
  getEntries(): readonly RunEntry[] {
    return this.entries;
  }

  /** Closes the ledger file, if there is one. */
  close(): void {
    if (this.file !== undefined) closeSync(this.file);
  }

  private write(entry: RunEntry): void {
    if (this.file !== undefined) writeSync(this.file, `${JSON.stringify(entry)}\n`);
  }
}
