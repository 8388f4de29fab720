/** Observation of the configuration revision in force at each entry. */
import {request} from 'undici';

/** Revision in force at an entry; `atMs` is when it was polled (Unix time in ms). */
export interface RevisionObservation {
  readonly instanceId: string;
  readonly revision: number;
  readonly atMs: number;
}

/** An entry to poll. */
export interface WatchedEntry {
  readonly instanceId: string;
  readonly url: string;
}

const POLL_MS = 100;
const RESPONSE_TIMEOUT_MS = 1_000;

/** Polls the status of every entry. */
export class RevisionWatcher {
  private readonly getEntries: () => readonly WatchedEntry[];
  private readonly deploymentKey: string;
  private readonly observations: RevisionObservation[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(getEntries: () => readonly WatchedEntry[], deploymentKey: string) {
    this.getEntries = getEntries;
    this.deploymentKey = deploymentKey;
  }

  /** Starts polling. */
  start(): void {
    this.timer = setInterval(() => {
      for (const entry of this.getEntries()) void this.pollEntry(entry);
    }, POLL_MS);
  }

  /** Stops polling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Returns the observed changes of each entry's revision. */
  getObservations(): readonly RevisionObservation[] {
    return this.observations;
  }

  private async pollEntry({instanceId, url}: WatchedEntry): Promise<void> {
    const askedAtMs = Date.now();
    try {
      const {body} = await request(`${url}/v1/status`, {
        headers: {authorization: `Bearer ${this.deploymentKey}`},
        signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
      });
      const {configurationRevision} = (await body.json()) as {configurationRevision: number};
      this.addObservation({instanceId, revision: configurationRevision, atMs: askedAtMs});
    } catch {
      // A stopped or frozen entry has no status to observe.
    }
  }

  /** Adds a changed revision; ignores responses to polls older than the last change, since responses can be reordered. */
  private addObservation(observation: RevisionObservation): void {
    const last = this.observations.findLast(
      ({instanceId}) => instanceId === observation.instanceId,
    );
    if (last && (last.revision === observation.revision || observation.atMs < last.atMs)) return;
    this.observations.push(observation);
  }
}
