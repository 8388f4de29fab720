/** Client of an entry's evidence about versions. */
import {Agent} from 'undici';
import {z} from 'zod';
import type {Instance, VersionEvidence} from '../blackboard/index.js';
import {callPlatform} from './PlatformCall.js';

/** Options of an `EvidenceClient`. */
export interface EvidenceClientOptions {
  /** Bearer key among the deployment's own daemons. */
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

const evidenceAnswerSchema = z.object({windows: z.array(versionEvidenceSchema)});

/** Reads evidence over HTTP at the entries' address for callers. */
export class EvidenceClient {
  private readonly options: EvidenceClientOptions;
  private readonly agent = new Agent({connections: 1, pipelining: 1});

  constructor(options: EvidenceClientOptions) {
    this.options = options;
  }

  /**
   * Returns an entry's windows, open ones included.
   * @param entry - The entry's instance.
   * @param fromMs - Least start of a window.
   * @throws ServingError of kind `backend-failed`.
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
      answerSchema: evidenceAnswerSchema,
    });
    return answer.windows;
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
