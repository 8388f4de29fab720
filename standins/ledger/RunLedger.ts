/** What a backend server ran, when and for whom; the verdicts of tests are read from it. */
import {createHash} from 'node:crypto';

/** How a run ended. */
export type RunEnd = 'running' | 'finished' | 'cancelled' | 'failed' | 'crashed';

/** One execution of a request by a backend server. */
export interface RunEntry {
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

/** Keeps the last runs in order of their start. */
export class RunLedger {
  private readonly entries: RunEntry[] = [];

  /** Adds a run that starts. */
  addEntry(entry: RunEntry): RunEntry {
    if (this.entries.length >= MAX_ENTRIES) this.entries.shift();
    this.entries.push(entry);
    return entry;
  }

  /** Returns the runs. */
  getEntries(): readonly RunEntry[] {
    return this.entries;
  }
}
