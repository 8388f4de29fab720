/** Watches which configuration revision each entry has in force. */
import {request} from 'undici';

/** A revision seen at an entry. */
export interface SeenRevision {
  readonly instanceId: string;
  readonly revision: number;
  readonly atMs: number;
}

/** An entry to watch. */
export interface WatchedEntry {
  readonly instanceId: string;
  readonly url: string;
}

const POLL_MS = 100;
const ANSWER_TIMEOUT_MS = 1_000;

/** Asks every entry for its status again and again. */
export class RevisionWatcher {
  private readonly getEntries: () => readonly WatchedEntry[];
  private readonly deploymentKey: string;
  private readonly seen: SeenRevision[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(getEntries: () => readonly WatchedEntry[], deploymentKey: string) {
    this.getEntries = getEntries;
    this.deploymentKey = deploymentKey;
  }

  /** Starts asking. */
  start(): void {
    this.timer = setInterval(() => {
      for (const entry of this.getEntries()) void this.ask(entry);
    }, POLL_MS);
  }

  /** Stops asking. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Returns what was seen, each entry's changes only. */
  getSeen(): readonly SeenRevision[] {
    return this.seen;
  }

  private async ask({instanceId, url}: WatchedEntry): Promise<void> {
    const askedAtMs = Date.now();
    try {
      const {body} = await request(`${url}/v1/status`, {
        headers: {authorization: `Bearer ${this.deploymentKey}`},
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      });
      const {configurationRevision} = (await body.json()) as {configurationRevision: number};
      this.addSeen({instanceId, revision: configurationRevision, atMs: askedAtMs});
    } catch {
      // An entry that is stopped or frozen has nothing to say.
    }
  }

  /** Answers overtake each other; only one that was asked for after the last counts. */
  private addSeen(now: SeenRevision): void {
    const last = this.seen.findLast(({instanceId}) => instanceId === now.instanceId);
    if (last && (last.revision === now.revision || now.atMs < last.atMs)) return;
    this.seen.push(now);
  }
}
