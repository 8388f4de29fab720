/** Waits for the signals by which a process is asked to stop. */

/** Resolves at the first SIGTERM or SIGINT; later ones are ignored, since a stop is under way. */
export function waitForStopSignal(): Promise<void> {
  return new Promise(resolve => {
    process.on('SIGTERM', () => resolve());
    process.on('SIGINT', () => resolve());
  });
}
