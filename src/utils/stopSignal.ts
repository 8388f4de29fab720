/** Handling of the signals that request a graceful shutdown. */

/** Resolves at the first SIGTERM or SIGINT. Later signals are ignored, because the shutdown is already in progress. */
export function waitForStopSignal(): Promise<void> {
  return new Promise(resolve => {
    process.on('SIGTERM', () => resolve());
    process.on('SIGINT', () => resolve());
  });
}
