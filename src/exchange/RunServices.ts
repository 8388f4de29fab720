/** What a run asks of the rest of the gateway: placement, budget, and where its observations go. */
import type {KnownServer} from '../catalog/index.js';
import type {HealthOutcome, PlacementDecision} from '../controllers/placement/index.js';
import type {AdmittedRequest} from './ExchangeRun.js';
import type {BackendHead, RefusalKind} from './ExchangeTypes.js';

/** Decisions and observations of a run. All instants are monotonic. */
export interface RunServices {
  choose(
    admitted: AdmittedRequest,
    triedIds: ReadonlySet<string>,
    nowMs: number,
  ): PlacementDecision;
  /** Takes one retry off the budget; returns whether there was one. */
  takeRetry(service: string, nowMs: number): boolean;
  getMaxConnections(service: string): number;
  getRetryAfterMs(refusal: RefusalKind, admitted: AdmittedRequest): number;
  onSent(
    admitted: AdmittedRequest,
    server: KnownServer,
    promptTokens: number,
    attempt: number,
    nowMs: number,
  ): void;
  onHead(server: KnownServer, head: BackendHead, nowMs: number): void;
  /** The prompt has been read, or the try has ended before. */
  onPromptRead(server: KnownServer, promptTokens: number): void;
  /** The request runs: a first event or an answer has come. */
  onRunning(admitted: AdmittedRequest, sentAtMs: number, nowMs: number, attempt: number): void;
  onTryEnd(server: KnownServer, outcome: HealthOutcome, nowMs: number): void;
  onClosed(server: KnownServer): void;
}
