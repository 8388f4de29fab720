/** Holds requests that arrive before a process that has just started knows the deployment. */

/** Options of a `StartGate`. */
export interface StartGateOptions {
  /** Whether the deployment is known. */
  readonly isInformed: () => boolean;
  readonly getNowMs: () => number;
}

/** A caller is held for this long at the most; a start takes less unless the store is away. */
const MAX_HOLD_MS = 800;
const POLL_MS = 20;

interface HeldRequest {
  readonly untilMs: number;
  readonly serve: () => void;
}

/** A queue that empties for good as soon as the deployment is known. */
export class StartGate {
  private readonly options: StartGateOptions;
  private held: HeldRequest[] = [];
  private timer: NodeJS.Timeout | undefined;
  private isOpen = false;

  constructor(options: StartGateOptions) {
    this.options = options;
  }

  /**
   * Serves a request at once where the deployment is known, else when it is, or when its time is up.
   * @param serve - Serves the request.
   */
  pass(serve: () => void): void {
    this.isOpen ||= this.options.isInformed();
    if (this.isOpen) return serve();
    this.held.push({untilMs: this.options.getNowMs() + MAX_HOLD_MS, serve});
    this.timer ??= setInterval(() => this.poll(), POLL_MS);
  }

  private poll(): void {
    this.isOpen ||= this.options.isInformed();
    const nowMs = this.options.getNowMs();
    const due = this.held.filter(({untilMs}) => this.isOpen || nowMs >= untilMs);
    this.held = this.held.filter(request => !due.includes(request));
    for (const {serve} of due) serve();
    if (this.held.length > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }
}
