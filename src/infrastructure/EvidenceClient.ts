/** Client of the evidence that an entry collects about versions: error counts and latencies per time window. */
import {Agent} from 'undici';
import {z} from 'zod';
import type {Instance, VersionEvidence} from '../blackboard/index.js';
import {callPlatform} from './callPlatform.js';

/** Credentials and timeout of an `EvidenceClient`. */
export interface EvidenceClientOptions {
  /** Bearer key with which the daemons of the deployment authenticate to each other. */
  readonly deploymentKey: string;
  readonly timeoutMs: number;
}

const durationMomentsSchema = z.object({
  count: z.number(),
  sumLogMs: z.number(),
  sumSquaredLogMs: z.number(),
});

const versionEvidenceSchema = z.object({
  service: z.string(),
  version: z.string(),
  route: z.string(),
  requestClass: z.string(),
  loadBand: z.enum(['low', 'medium', 'high']),
  prefillBand: z.enum(['tiny', 'short', 'long', 'huge']),
  windowStartMs: z.number(),
  requests: z.number(),
  errors: z.number(),
  firstToken: durationMomentsSchema,
  interToken: durationMomentsSchema,
});

const evidenceResponseSchema = z.object({windows: z.array(versionEvidenceSchema)});

/** Reads version evidence over HTTP, from the port on which an entry serves its callers. */
export class EvidenceClient {
  private readonly options: EvidenceClientOptions;
  private readonly agent = new Agent({connections: 1, pipelining: 1});

  constructor(options: EvidenceClientOptions) {
    this.options = options;
  }

  /**
   * Returns the evidence windows of an entry, including incomplete ones.
   * @param entry - The instance that runs the entry.
   * @param fromMs - Minimum start of a window, as Unix time in milliseconds.
   * @throws ServingError of kind `backend-failed` on a timeout, a network error or an invalid response.
   */
  async getEvidence(
    {address, port}: Instance,
    fromMs: number,
  ): Promise<readonly VersionEvidence[]> {
    const {deploymentKey, timeoutMs} = this.options;
    const host = address.includes(':') ? `[${address}]` : address;
    const answer = await callPlatform({
      agent: this.agent,
      method: 'GET',
      url: `http://${host}:${port}/v1/evidence?fromMs=${fromMs}`,
      bearer: deploymentKey,
      timeoutMs,
      responseSchema: evidenceResponseSchema,
    });
    return answer.windows;
  }

  /** Aborts pending calls and closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
