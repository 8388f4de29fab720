/** Holds requests that arrive before a newly started process knows the deployment's configuration and servers. */

/** Constructor options of `StartGate`. */
export interface StartGateOptions {
  /** Returns whether the configuration and the registrations have been read once. */
  readonly isDeploymentKnown: () => boolean;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
}

/** Longest time for which a request is held; a start takes less unless the store is unavailable. */
const MAX_HOLD_MS = 800;
const POLL_MS = 20;

interface HeldRequest {
  /** Monotonic time at which the request is served even if the deployment is still unknown. */
  readonly heldUntilMs: number;
  readonly serve: () => void;
}

/** Queue of the requests held at the start; once the deployment is known, it stays open. */
export class StartGate {
  private readonly options: StartGateOptions;
  private heldRequests: HeldRequest[] = [];
  private timer: NodeJS.Timeout | undefined;
  private isOpen = false;

  constructor(options: StartGateOptions) {
    this.options = options;
  }

  /**
   * Serves a request now if the deployment is known; otherwise holds it until the deployment is known or the time limit
   * passes.
   * @param serve - Called exactly once.
   */
  admit(serve: () => void): void {
    this.isOpen ||= this.options.isDeploymentKnown();
    if (this.isOpen) return serve();
    this.heldRequests.push({heldUntilMs: this.options.getNowMs() + MAX_HOLD_MS, serve});
    this.timer ??= setInterval(() => this.poll(), POLL_MS);
  }

  private poll(): void {
    this.isOpen ||= this.options.isDeploymentKnown();
    const nowMs = this.options.getNowMs();
    const dueRequests = this.heldRequests.filter(
      ({heldUntilMs}) => this.isOpen || nowMs >= heldUntilMs,
    );
    this.heldRequests = this.heldRequests.filter(request => !dueRequests.includes(request));
    for (const {serve} of dueRequests) serve();
    if (this.heldRequests.length > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }
}
